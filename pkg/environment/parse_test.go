package environment

import (
	"path/filepath"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestParse reads documents from testdata. Each archive holds a document and
// the problems that it must be refused with, empty for a good one.
func TestParse(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		_, err := Parse("doc.toml", files[0])
		testarchive.Problems(t, err, files[1])
	})
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
