package claim

import (
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice"
)

// TestBatchRoundTrip checks that encoding and decoding preserve every field.
func TestBatchRoundTrip(t *testing.T) {
	key := Key{Team: "t", UUID: uuid.Max}
	batch := []Entry{
		Claim{Key: key, ID: uuid.Max, Digest: RequestDigest{1, 2}, Incarnation: uuid.Max, ReadOffset: 7},
		Outcome{Key: key, ID: uuid.Max, Result: ResultDone, Response: Response{Status: 201, ContentType: "c", Body: []byte("b"), Truncated: true}},
		Release{Key: key, ID: uuid.Max},
		Heartbeat{},
	}
	data, err := EncodeBatch(batch)
	assert.NilError(t, err)
	got, err := DecodeBatch(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, batch)
}

// FuzzKeyTable applies arbitrary records to a table, which must skip what it cannot
// decode and never panic.
func FuzzKeyTable(f *testing.F) {
	data, err := EncodeBatch([]Entry{Claim{Key: Key{Team: "t"}}, Release{Key: Key{Team: "t"}}, Heartbeat{}})
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		table := NewKeyTable()
		_, err := table.Apply(logservice.Record{Body: data})
		assert.NilError(t, err)
		assert.Equal(t, table.Next(), logservice.Offset(1))
	})
}
