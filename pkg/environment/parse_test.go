package environment

import (
	"path/filepath"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestParse parses the documents of testdata. Each archive holds a document and the
// problems that Parse must report, none for a valid document.
func TestParse(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		_, err := Parse("doc.toml", files[0])
		testarchive.ErrorText(t, err, files[1])
	})
}

// FuzzParse checks that the parser does not panic on arbitrary input, and returns
// either a document or an error.
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
