package daemon

import (
	"testing"

	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestParseSettings parses the settings in testdata. Each archive holds settings and
// the problems that parsing must report, none for valid settings.
func TestParseSettings(t *testing.T) {
	testarchive.Each(t, "testdata/settings-*.txtar", func(t *testing.T, files [][]byte) {
		_, err := ParseSettings("entry.toml", files[0])
		testarchive.ErrorText(t, err, files[1])
	})
}
