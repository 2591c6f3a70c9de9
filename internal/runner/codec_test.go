package runner

import (
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
)

func exampleFrame() Frame {
	return Frame{
		Steps: []Step{{
			Session: uuid.Max, Epoch: 2, Position: 3, Range: LayerRange{First: 4, End: 6},
			Model: "m", Version: "v", Priority: 7, Tokens: []hashmodel.Token{1, 2},
		}},
		Replies: []Reply{{
			Session: uuid.Max, Epoch: 2, Position: 3, Range: LayerRange{First: 4, End: 6}, Version: "v",
			Status: StepOutOfOrder, Hidden: []hashmodel.Hidden{9}, Token: 8,
		}},
		Closes:    []CloseSession{{Session: uuid.Max, Epoch: 2}},
		Heartbeat: 5,
	}
}

// TestFrameRoundTrip checks that encoding and decoding a frame keeps every field.
func TestFrameRoundTrip(t *testing.T) {
	data, err := EncodeFrame(exampleFrame())
	assert.NilError(t, err)
	got, err := DecodeFrame(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, exampleFrame())
}

// FuzzDecodeFrame passes arbitrary bytes to the decoder, as a faulty engine might
// send. A frame that decodes must encode.
func FuzzDecodeFrame(f *testing.F) {
	data, err := EncodeFrame(exampleFrame())
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := DecodeFrame(data)
		if err != nil {
			return
		}
		_, err = EncodeFrame(frame)
		assert.NilError(t, err)
	})
}
