package routing

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/testarchive"
	"mulberryhead.org/mulberryhead/platform"
)

// TestKeysOfConfigurations guards against a list of teams that has become empty, or a key that is, and lets every
// request in. Each line of a script is a path, a key ("-" for none) and what is decided.
func TestKeysOfConfigurations(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		configuration, err := platform.DecodeConfiguration(files[0])
		assert.NilError(t, err)
		table := NewTable(configuration)
		var got strings.Builder
		for line := range strings.Lines(string(files[1])) {
			request, _, _ := strings.Cut(line, ":")
			path, key, _ := strings.Cut(request, " ")
			_, _ = fmt.Fprintf(&got, "%s: %s\n", request, outcomeOf(table, path, strings.TrimPrefix(key, "-")))
		}
		assert.Equal(t, got.String(), string(files[1]))
	})
}

// outcomeOf returns what a table decides of a request.
func outcomeOf(table *Table, path, key string) string {
	decision, err := table.Decide("app.example", path, deployment.APIKey(key))
	var noRoute *NoRouteError
	var unknownKey *UnknownKeyError
	switch {
	case errors.As(err, &noRoute):
		return "no route"
	case errors.As(err, &unknownKey):
		return "unknown key"
	case decision.Team == "":
		return "no team"
	}
	return "team " + string(decision.Team)
}
