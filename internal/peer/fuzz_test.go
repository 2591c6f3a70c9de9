package peer

import (
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice/document"
)

// FuzzDecode passes arbitrary bytes to the decoder, as a faulty peer might send. A
// message that decodes must encode, and its encoding must decode.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Hello{Instance: "a", Incarnation: uuid.Nil, Zone: "z"}, Heartbeat{Leaving: true}, DocumentsOffset{AsOf: 7},
		DocumentsRequest{AsOf: 7}, DocumentsCheckpoint{Checkpoint: document.Checkpoint{AsOf: 7}},
		LoadUpdates{Updates: []LoadUpdate{{Runner: "r", Queued: 1}}}, CrashNotice{Fingerprint: 7, Runner: "r"},
		ForwardRequest{ID: 7, Key: "k"}, ForwardResponse{ID: 7, Status: 200},
	} {
		data, err := Encode(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil || m == nil {
			return
		}
		encoded, err := Encode(m)
		assert.NilError(t, err)
		_, err = Decode(encoded)
		assert.NilError(t, err)
	})
}
