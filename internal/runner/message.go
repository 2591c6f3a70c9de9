// Package runner is a client of the step protocol of model engines. It sends the
// steps of many sessions to a runner over one WebSocket stream of CBOR frames, and
// passes the replies to a Receiver, which matches them with their sessions.
//
// Usage: Dial a runner with a Receiver, then call Send for each Step. HandleReply is
// called for each reply that arrives. HandleStreamLost is called once, when the
// stream has ended: steps without a reply get none from then on.
//
//	memory := http1.NewMemory(runner.FrameMemory) // of all streams
//	stream, err := runner.Dial(ctx, "engine-1", "127.0.0.1:9001", receiver, memory)
//	if err != nil {
//		return err // a *runner.DialError
//	}
//	ok := stream.Send(runner.Step{Session: session, Range: layers, ...})
package runner

import (
	"fmt"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// ID identifies a runner, a model engine. It may restart under the same ID; its report
// then has another incarnation.
type ID string

// SessionID identifies a session: the generation of one answer.
type SessionID = uuid.UUID

// Epoch numbers the paths that a session has used. It never decreases.
type Epoch uint32

// Position is the index of a token in a session, counted from 0 and including the
// prompt.
type Position int

// LayerRange is the half-open range of layers from First up to, but excluding, End.
type LayerRange struct {
	First int
	End   int
}

func (r LayerRange) String() string {
	return fmt.Sprintf("%d-%d", r.First, r.End-1)
}

// Step asks a runner to run its layers for consecutive positions, starting at
// Position. The input is Tokens for the range that starts with the first layer, and
// Hidden for any other; the unused slice is empty.
type Step struct {
	Session  SessionID
	Epoch    Epoch
	Position Position
	Range    LayerRange
	Model    environment.ModelName
	Version  environment.ModelVersion
	Priority int
	Tokens   []hashmodel.Token
	Hidden   []hashmodel.Hidden
}

// Count returns the number of positions in the step.
func (s *Step) Count() int {
	return len(s.Tokens) + len(s.Hidden)
}

// StepStatus is the result of a step at a runner.
type StepStatus uint8

// The possible results of a step. All but StepOK are rejections.
const (
	StepOK StepStatus = iota
	// StepUnknownSession: the runner has no state for the session and epoch.
	StepUnknownSession
	// StepWrongModel: the runner holds another model, version or range.
	StepWrongModel
	// StepLeaving: the runner is draining and accepts no new sessions.
	StepLeaving
	// StepOutOfOrder: the position is neither the next one nor that of the last step.
	StepOutOfOrder
)

// Reply is the response to a step. Range and Version are those that the runner used.
type Reply struct {
	Session  SessionID
	Epoch    Epoch
	Position Position
	Range    LayerRange
	Version  environment.ModelVersion
	Status   StepStatus
	Hidden   []hashmodel.Hidden
	// Token is the next token. It is set only by the runner of the last layer.
	Token hashmodel.Token
}

// CloseSession releases the state that a runner keeps for a session and epoch.
type CloseSession struct {
	Session SessionID
	Epoch   Epoch
}
