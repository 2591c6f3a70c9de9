package runner

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Frame is one message of a stream: a batch of steps, replies and session closes.
// A Heartbeat above 0 asks the other side to respond with a frame of the same
// Heartbeat.
type Frame struct {
	Steps     []Step
	Replies   []Reply
	Closes    []CloseSession
	Heartbeat uint64
}

type wireStep struct {
	Session  uuid.UUID          `cbor:"1,keyasint"`
	Epoch    uint32             `cbor:"2,keyasint"`
	Position int                `cbor:"3,keyasint"`
	First    int                `cbor:"4,keyasint"`
	End      int                `cbor:"5,keyasint"`
	Model    string             `cbor:"6,keyasint"`
	Version  string             `cbor:"7,keyasint"`
	Priority int                `cbor:"8,keyasint,omitempty"`
	Tokens   []hashmodel.Token  `cbor:"9,keyasint,omitempty"`
	Hidden   []hashmodel.Hidden `cbor:"10,keyasint,omitempty"`
}

type wireReply struct {
	Session  uuid.UUID          `cbor:"1,keyasint"`
	Epoch    uint32             `cbor:"2,keyasint"`
	Position int                `cbor:"3,keyasint"`
	First    int                `cbor:"4,keyasint"`
	End      int                `cbor:"5,keyasint"`
	Version  string             `cbor:"6,keyasint"`
	Status   uint8              `cbor:"7,keyasint,omitempty"`
	Hidden   []hashmodel.Hidden `cbor:"8,keyasint,omitempty"`
	Token    uint32             `cbor:"9,keyasint,omitempty"`
}

type wireClose struct {
	Session uuid.UUID `cbor:"1,keyasint"`
	Epoch   uint32    `cbor:"2,keyasint"`
}

type wireFrame struct {
	Steps     []wireStep  `cbor:"1,keyasint,omitempty"`
	Replies   []wireReply `cbor:"2,keyasint,omitempty"`
	Closes    []wireClose `cbor:"3,keyasint,omitempty"`
	Heartbeat uint64      `cbor:"4,keyasint,omitempty"`
}

// EncodeFrame returns the CBOR encoding of a frame.
func EncodeFrame(f Frame) ([]byte, error) {
	w := wireFrame{Heartbeat: f.Heartbeat}
	for i := range f.Steps {
		w.Steps = append(w.Steps, stepToWire(&f.Steps[i]))
	}
	for i := range f.Replies {
		w.Replies = append(w.Replies, replyToWire(&f.Replies[i]))
	}
	for _, c := range f.Closes {
		w.Closes = append(w.Closes, wireClose{Session: c.Session, Epoch: uint32(c.Epoch)})
	}
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	return data, nil
}

// DecodeFrame decodes a frame from CBOR.
func DecodeFrame(data []byte) (Frame, error) {
	var w wireFrame
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	f := Frame{Heartbeat: w.Heartbeat}
	for i := range w.Steps {
		f.Steps = append(f.Steps, stepFromWire(&w.Steps[i]))
	}
	for i := range w.Replies {
		f.Replies = append(f.Replies, replyFromWire(&w.Replies[i]))
	}
	for _, c := range w.Closes {
		f.Closes = append(f.Closes, CloseSession{Session: c.Session, Epoch: Epoch(c.Epoch)})
	}
	return f, nil
}

func stepToWire(s *Step) wireStep {
	return wireStep{
		Session: s.Session, Epoch: uint32(s.Epoch), Position: int(s.Position),
		First: s.Range.First, End: s.Range.End,
		Model: string(s.Model), Version: string(s.Version), Priority: s.Priority,
		Tokens: s.Tokens, Hidden: s.Hidden,
	}
}

func stepFromWire(w *wireStep) Step {
	return Step{
		Session: w.Session, Epoch: Epoch(w.Epoch), Position: Position(w.Position),
		Range: LayerRange{First: w.First, End: w.End},
		Model: environment.ModelName(w.Model), Version: environment.ModelVersion(w.Version), Priority: w.Priority,
		Tokens: w.Tokens, Hidden: w.Hidden,
	}
}

func replyToWire(r *Reply) wireReply {
	return wireReply{
		Session: r.Session, Epoch: uint32(r.Epoch), Position: int(r.Position),
		First: r.Range.First, End: r.Range.End, Version: string(r.Version),
		Status: uint8(r.Status), Hidden: r.Hidden, Token: uint32(r.Token),
	}
}

func replyFromWire(w *wireReply) Reply {
	return Reply{
		Session: w.Session, Epoch: Epoch(w.Epoch), Position: Position(w.Position),
		Range: LayerRange{First: w.First, End: w.End}, Version: environment.ModelVersion(w.Version),
		Status: StepStatus(w.Status), Hidden: w.Hidden, Token: hashmodel.Token(w.Token),
	}
}
