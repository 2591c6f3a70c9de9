// Package testarchive runs table tests whose cases are txtar archives.
//
// Usage: pass a glob pattern and a function that tests the files of one archive:
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

// Each runs test as a subtest for every archive that matches pattern, with the
// contents of the archive's files in order. The subtest is named after the archive,
// without its extension. No match fails the test.
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

// ErrorText asserts that the text of err equals want without leading and trailing
// white space. An empty want expects no error.
func ErrorText(t *testing.T, err error, want []byte) {
	t.Helper()
	got := ""
	if err != nil {
		got = err.Error()
	}
	assert.Equal(t, got, strings.TrimSpace(string(want)))
}
