package daemon

import (
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// TestParseSettings reads settings from testdata. Each archive holds settings
// and the problems that they must be refused with, empty for good ones.
func TestParseSettings(t *testing.T) {
	files, err := filepath.Glob("testdata/settings-*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			got := ""
			if _, err := ParseSettings("entry.toml", archive.Files[0].Data); err != nil {
				got = err.Error()
			}
			assert.Equal(t, got, strings.TrimSpace(string(archive.Files[1].Data)))
		})
	}
}
