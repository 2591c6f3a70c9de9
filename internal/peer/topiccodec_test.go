package peer

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/topiccache"
	"mulberryhead.org/mulberryhead/platform"
)

// TestCompactedChangesLoseTheirMark guards against changes made from a snapshot that a peer takes for those of the
// log: one of this build learns that they are compacted, an earlier one sees an empty range and asks.
func TestCompactedChangesLoseTheirMark(t *testing.T) {
	update := topiccache.Update{Compacted: true, From: 3, Next: 7, Records: []platform.Record{{Offset: 5, Key: "a", Value: []byte("b")}}}
	differences := topiccache.Differences{From: 3, Next: 7, Changes: []topiccache.Difference{{Offset: 5, Key: "a", Base: topiccache.NoBase, Data: []byte("d")}}}
	for name, message := range map[string]TopicRecords{
		"records":     {Topic: "t", Pushed: true, Update: update},
		"differences": {Topic: "t", Pushed: true, Update: topiccache.Update{Compacted: true, From: 7, Next: 7}, Differences: &differences},
	} {
		data, err := cbor.Marshal(topicRecordsToWire(message))
		assert.NilError(t, err, name)
		var wire wireTopicRecords
		assert.NilError(t, cbor.Unmarshal(data, &wire), name)
		assert.DeepEqual(t, topicRecordsFromWire(&wire), message)
		assert.Equal(t, wire.From, wire.Next, name) // all that an earlier build reads of the range
	}
}
