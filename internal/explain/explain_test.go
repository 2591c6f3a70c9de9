package explain

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/testarchive"
)

// TestExplain reads log lines from the first file of an archive. The second file names a
// request, or is empty for the summary of all requests; the third is the expected output.
func TestExplain(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		log, err := Read(bytes.NewReader(files[0]))
		assert.NilError(t, err)
		got := log.Summary()
		if id := strings.TrimSpace(string(files[1])); id != "" {
			got = log.Timeline(id)
		}
		assert.Equal(t, got, string(files[2]))
	})
}
