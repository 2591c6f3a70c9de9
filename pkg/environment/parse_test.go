package environment

import (
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// TestParse reads documents from testdata. Each archive holds a document and
// the problems that it must be refused with, empty for a good one.
func TestParse(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			got := ""
			if _, err := Parse("doc.toml", archive.Files[0].Data); err != nil {
				got = err.Error()
			}
			assert.Equal(t, got, strings.TrimSpace(string(archive.Files[1].Data)))
		})
	}
}

// FuzzParse feeds arbitrary text to the parser. It must never panic.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(f, err)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(f, err)
		f.Add(archive.Files[0].Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("doc.toml", data)
		assert.Assert(t, (doc == nil) == (err != nil))
	})
}
