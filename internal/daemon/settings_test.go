package daemon

import (
	"testing"

	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestParseSettings reads settings from testdata. Each archive holds settings
// and the problems that they must be refused with, empty for good ones.
func TestParseSettings(t *testing.T) {
	testarchive.Each(t, "testdata/settings-*.txtar", func(t *testing.T, files [][]byte) {
		_, err := ParseSettings("entry.toml", files[0])
		testarchive.Problems(t, err, files[1])
	})
}
