package document

import (
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// TestRecordRoundTrip checks that encoding and decoding a record keeps all fields.
func TestRecordRoundTrip(t *testing.T) {
	for _, record := range []Record{
		Publication{Environment: "e", Stage: environment.Trial, Base: 3, Digest: "d", ID: uuid.Max, Body: []byte("b"), Promotes: 2},
		Checkpoint{AsOf: 9, Entries: []Entry{{
			Environment: "e", Stage: environment.Production, Version: 4, Digest: "d", ID: uuid.Max, Body: []byte("b"),
			AcceptedVersions: []AcceptedVersion{{Version: 4, Digest: "d"}},
		}}},
	} {
		data, err := EncodeRecord(record)
		assert.NilError(t, err)
		got, err := DecodeRecord(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, record)
	}
}

// FuzzState applies arbitrary records to a state. It must skip records that can't
// be decoded and never panic.
func FuzzState(f *testing.F) {
	body := []byte("b")
	data, err := EncodeRecord(Publication{Environment: "e", Stage: environment.Trial, Base: NoVersion, Digest: environment.DigestOf(body), Body: body})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		state := NewState()
		_, err := state.Apply(logservice.Record{Body: data})
		assert.NilError(t, err)
		assert.Equal(t, state.Next(), logservice.Offset(1))
	})
}
