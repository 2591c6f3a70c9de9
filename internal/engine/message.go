package engine

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// Event is an input of a session: the result of one of its actions, a message or
// failure of a runner, a clock tick, or cancellation.
type Event interface {
	isEvent()
}

// PathChosen is the result of ChoosePath when there is a path.
type PathChosen struct {
	Path Path
}

// NoPath is the result of ChoosePath when no runners cover the layers.
type NoPath struct{}

// StepReplied delivers a reply and the runner whose stream it was received on.
type StepReplied struct {
	From  runner.ID
	Reply runner.Reply
}

// StreamLost reports that the stream to a runner ended or did not accept a step.
type StreamLost struct {
	Runner runner.ID
}

// RerouteDecided is the result of ProposeReroute.
type RerouteDecided struct {
	Allowed bool
}

// RetryDecided is the result of ProposeRetry.
type RetryDecided struct {
	Allowed bool
}

// Quarantined reports that the request is quarantined and must not run again.
type Quarantined struct{}

// RunnerUnreachable reports that a new stream to a runner could not be opened.
type RunnerUnreachable struct {
	Runner runner.ID
}

// Tick reports that Session.Due may have passed.
type Tick struct{}

// Canceled reports that the caller no longer needs the answer.
type Canceled struct{}

func (PathChosen) isEvent()        {}
func (NoPath) isEvent()            {}
func (StepReplied) isEvent()       {}
func (StreamLost) isEvent()        {}
func (RunnerUnreachable) isEvent() {}
func (Tick) isEvent()              {}
func (Canceled) isEvent()          {}
func (Quarantined) isEvent()       {}
func (RerouteDecided) isEvent()    {}
func (RetryDecided) isEvent()      {}

// Action is an output of a session, to be executed by its driver.
type Action interface {
	isAction()
}

// ChoosePath requests a path without the runners in Exclude. Positions is the
// number of positions of the prefill. The result is PathChosen, NoPath or
// Quarantined.
type ChoosePath struct {
	Positions int
	Exclude   map[runner.ID]bool
}

// SendStep sends a step to a runner, over a new stream if the last one has ended.
type SendStep struct {
	Hop  Hop
	Step runner.Step
}

// CloseSession releases the session's state on a runner.
type CloseSession struct {
	Hop   Hop
	Close runner.CloseSession
}

// Emit delivers the next token to the caller.
type Emit struct {
	Token hashmodel.Token
}

// ReportRunnerFailure reports that a runner was unreachable, did not reply in time
// or sent a malformed reply.
type ReportRunnerFailure struct {
	Runner runner.ID
}

// RecordStepTime reports the time that a runner took for a step of one position.
type RecordStepTime struct {
	Runner  runner.ID
	Elapsed time.Duration
}

// ProposeReroute asks whether to reroute away from a slow runner. Elapsed is the time
// of the last step on that runner. The driver allows the reroute if a path without
// the runner is predicted to take less than half of Elapsed and the retry budget
// allows it. The result is RerouteDecided.
type ProposeReroute struct {
	Runner  runner.ID
	Elapsed time.Duration
	Exclude map[runner.ID]bool
}

// ProposeRetry asks whether a stalled step may be retried, or its runner abandoned
// if it was retried before. Both add load to the runners, so both are paid from the
// retry budget. The result is RetryDecided.
type ProposeRetry struct{}

// DropReply counts a reply that does not match the outstanding step.
type DropReply struct {
	From runner.ID
}

// Finish ends a complete answer.
type Finish struct{}

// FailReason is the reason why an answer could not be completed.
type FailReason string

// Reasons why generation fails.
const (
	FailNoPath          FailReason = "no-path"
	FailTooManyReroutes FailReason = "too-many-failures"
	FailInvariant       FailReason = "internal"
	FailQuarantined     FailReason = "quarantined"
)

// Fail ends an incomplete answer.
type Fail struct {
	Reason FailReason
}

func (ChoosePath) isAction()          {}
func (SendStep) isAction()            {}
func (CloseSession) isAction()        {}
func (Emit) isAction()                {}
func (ReportRunnerFailure) isAction() {}
func (DropReply) isAction()           {}
func (RecordStepTime) isAction()      {}
func (ProposeReroute) isAction()      {}
func (ProposeRetry) isAction()        {}
func (Finish) isAction()              {}
func (Fail) isAction()                {}
