// Package runner speaks to model engines: it sends the steps of many sessions
// over one stream for each runner and hands each reply to the session it
// belongs to.
//
// Usage: Dial a runner, then call Send with a Step and a ReplyHandler. The
// handler gets exactly one call: the reply, or a *DialError when the stream
// ended first.
package runner

import (
	"fmt"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// ID identifies a runner: one engine process.
type ID string

// SessionID identifies one answer in the making.
type SessionID = uuid.UUID

// Epoch counts the paths that a session has used. It only grows.
type Epoch uint32

// Position counts the tokens of a session, prompt included, from 0.
type Position int

// LayerRange is the layers First up to but excluding End.
type LayerRange struct {
	First int
	End   int
}

func (r LayerRange) String() string {
	return fmt.Sprintf("%d-%d", r.First, r.End-1)
}

// Step asks a runner to run its range of layers for consecutive positions.
// The first layers take Tokens, the others Hidden; the other slice is empty.
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

// Count returns the number of positions that the step runs.
func (s *Step) Count() int {
	return len(s.Tokens) + len(s.Hidden)
}

// StepStatus says how a runner took a step.
type StepStatus uint8

// The ways a step can end at a runner.
const (
	StepOK StepStatus = iota
	// StepUnknownSession: the runner has no state for the session and epoch.
	StepUnknownSession
	// StepWrongModel: the runner holds another model, version or range.
	StepWrongModel
	// StepLeaving: the runner takes no new sessions.
	StepLeaving
	// StepOutOfOrder: the position is neither the next nor the last one.
	StepOutOfOrder
)

// Reply answers a step. It echoes what the runner really ran.
type Reply struct {
	Session  SessionID
	Epoch    Epoch
	Position Position
	Range    LayerRange
	Version  environment.ModelVersion
	Status   StepStatus
	Hidden   []hashmodel.Hidden
	// Token is the next token. It is set only by the holder of the last layer.
	Token hashmodel.Token
}

// CloseSession frees what a runner keeps for a session and epoch.
type CloseSession struct {
	Session SessionID
	Epoch   Epoch
}
