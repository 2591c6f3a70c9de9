// Package testarchive runs tests that are written as txtar archives.
//
// Usage: give the pattern of the files and a test for each:
//
//	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) { ... })
package testarchive

import (
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// Each runs a test for every archive that matches pattern, named after its
// file, with the contents of the archive's files in order.
func Each(t *testing.T, pattern string, test func(t *testing.T, files [][]byte)) {
	t.Helper()
	names, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0, "no file matches %s", pattern)
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(name)
			assert.NilError(t, err)
			var files [][]byte
			for _, f := range archive.Files {
				files = append(files, f.Data)
			}
			test(t, files)
		})
	}
}

// Problems compares the text of an error with what an archive expects; an empty
// expectation stands for no error.
func Problems(t *testing.T, err error, want []byte) {
	t.Helper()
	got := ""
	if err != nil {
		got = err.Error()
	}
	assert.Equal(t, got, strings.TrimSpace(string(want)))
}
