package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
)

// TestObservationsKeepTheirNumbers guards against instances of two versions that take one
// observation for another.
func TestObservationsKeepTheirNumbers(t *testing.T) {
	for number, what := range []backend.Observation{
		backend.StageRejected, backend.StageAccepted, backend.StageSuspected, backend.LinkFailed, backend.LinkWorks,
	} {
		assert.Equal(t, int(what), number)
		data, err := Encode(StageObserved{Backend: "b", What: what})
		assert.NilError(t, err)
		got, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, StageObserved{Backend: "b", What: what})
	}
}

// TestUnknownObservationDecodes guards against a link that ends as a later version tells of
// an observation that this one doesn't know.
func TestUnknownObservationDecodes(t *testing.T) {
	data, err := Encode(StageObserved{Backend: "b", What: backend.LinkWorks + 1})
	assert.NilError(t, err)
	got, err := Decode(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, StageObserved{Backend: "b", What: backend.LinkWorks + 1})
}
