package engine

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// Event is something that happened to a session.
type Event interface {
	isEvent()
}

// PathChosen answers a ChoosePath.
type PathChosen struct {
	Path Path
}

// NoPath answers a ChoosePath when no runners cover the layers.
type NoPath struct{}

// StepReplied gives a reply and the runner whose stream it came in on.
type StepReplied struct {
	From  runner.ID
	Reply runner.Reply
}

// StreamLost says that the stream to a runner ended.
type StreamLost struct {
	Runner runner.ID
}

// RerouteDecided answers a ProposeReroute.
type RerouteDecided struct {
	Allowed bool
}

// RetryDecided answers a ProposeRetry.
type RetryDecided struct {
	Allowed bool
}

// Quarantined says that the request must not run again.
type Quarantined struct{}

// RunnerUnreachable says that no new stream to a runner could be opened.
type RunnerUnreachable struct {
	Runner runner.ID
}

// Tick says that time has passed.
type Tick struct{}

// Cancelled says that the caller no longer wants the answer.
type Cancelled struct{}

func (PathChosen) isEvent()        {}
func (NoPath) isEvent()            {}
func (StepReplied) isEvent()       {}
func (StreamLost) isEvent()        {}
func (RunnerUnreachable) isEvent() {}
func (Tick) isEvent()              {}
func (Cancelled) isEvent()         {}
func (Quarantined) isEvent()       {}
func (RerouteDecided) isEvent()    {}
func (RetryDecided) isEvent()      {}

// Action is something to do for a session.
type Action interface {
	isAction()
}

// ChoosePath asks for a path that avoids some runners.
type ChoosePath struct {
	Positions int
	Exclude   map[runner.ID]bool
}

// SendStep asks for a step to be sent to a runner, over a new stream if the
// last one has ended.
type SendStep struct {
	Hop  Hop
	Step runner.Step
}

// CloseStage frees a runner's state.
type CloseStage struct {
	Hop   Hop
	Close runner.CloseSession
}

// Emit gives the caller the next token.
type Emit struct {
	Token hashmodel.Token
}

// ReportRunnerFailure says that a runner did not answer.
type ReportRunnerFailure struct {
	Runner runner.ID
}

// RecordStepTime tells how long a runner took for one position.
type RecordStepTime struct {
	Runner  runner.ID
	Elapsed time.Duration
}

// ProposeReroute asks whether a path without a slow runner would be better.
type ProposeReroute struct {
	Runner  runner.ID
	Elapsed time.Duration
	Exclude map[runner.ID]bool
}

// ProposeRetry asks whether a step that has stalled may be sent again, or its
// runner given up. Both load the runners further, so they come from a budget.
type ProposeRetry struct{}

// DropReply counts a reply that belongs to no step under way.
type DropReply struct {
	From runner.ID
}

// Finish ends the answer; it is whole.
type Finish struct{}

// FailReason says why an answer can't go on.
type FailReason string

// The reasons for an answer that can't go on.
const (
	FailNoPath          FailReason = "no-path"
	FailTooManyReroutes FailReason = "too-many-failures"
	FailInvariant       FailReason = "internal"
	FailQuarantined     FailReason = "quarantined"
)

// Fail ends the answer; it is not whole.
type Fail struct {
	Reason FailReason
}

func (ChoosePath) isAction()          {}
func (SendStep) isAction()            {}
func (CloseStage) isAction()          {}
func (Emit) isAction()                {}
func (ReportRunnerFailure) isAction() {}
func (DropReply) isAction()           {}
func (RecordStepTime) isAction()      {}
func (ProposeReroute) isAction()      {}
func (ProposeRetry) isAction()        {}
func (Finish) isAction()              {}
func (Fail) isAction()                {}
