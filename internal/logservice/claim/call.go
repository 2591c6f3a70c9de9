package claim

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
)

const (
	// releaseRetryAfter is when to come back for a call that did not run.
	releaseRetryAfter = 1 * time.Second
	// maxDispatches bounds the tries of one call at its backend servers.
	maxDispatches = 3
)

// CallOutcome is what a caller is told about a call's effect.
type CallOutcome string

// The answers; their text is the value of the outcome header.
const (
	OutcomeDone    CallOutcome = "done"
	OutcomeNotRun  CallOutcome = "not-run"
	OutcomeUnknown CallOutcome = "unknown"
)

// Code is the stable reason of a problem.
type Code string

// The reasons that a call can end with.
const (
	CodeNone           Code = ""
	CodeKeyReused      Code = "key-reused"
	CodeLogUnavailable Code = "log-unavailable"
	CodeNoBackend      Code = "no-backend-server"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeInProgress     Code = "in-progress"
	CodeKeyTooOld      Code = "idempotency-key-too-old"
)

// Event is something that happened to a call.
type Event interface {
	isEvent()
}

// StateUpdate gives what the ledger knows about the key, at the start and each
// time it changes.
type StateUpdate struct {
	State KeyState
}

// Settled says that the ledger has read the record that holds the claim, so
// that State is final about it.
type Settled struct {
	State KeyState
}

// Refused says that the claim was not appended and never will be.
type Refused struct {
	RetryAfter time.Duration
}

// NotSent says that a dispatch wrote nothing to a backend server.
type NotSent struct{}

// ResponseLost says that a dispatch wrote something and got no response.
type ResponseLost struct{}

// ResponseReceived says that the backend server responded.
type ResponseReceived struct {
	Response Response
}

// Tick says that time has passed.
type Tick struct{}

func (StateUpdate) isEvent()      {}
func (Settled) isEvent()          {}
func (Refused) isEvent()          {}
func (NotSent) isEvent()          {}
func (ResponseLost) isEvent()     {}
func (ResponseReceived) isEvent() {}
func (Tick) isEvent()             {}

// Action is something to do for a call.
type Action interface {
	isAction()
}

// Append asks for an entry to be appended to the log.
type Append struct {
	Entry Entry
}

// Dispatch asks for the call to be sent to a backend server that was not
// tried before.
type Dispatch struct{}

// Reply gives the caller the final answer.
type Reply struct {
	// Answer is about the key: not-run means that no attempt under it that
	// has begun ran or ever will. Only the owner of the key can tell.
	Answer CallOutcome
	// AttemptNotRun says that this attempt did not run and never will, also
	// where an earlier one under the same key may have.
	AttemptNotRun bool
	Code          Code
	Response      Response
	// RetryAfter is when to come back, 0 if coming back does not help.
	RetryAfter time.Duration
}

func (Append) isAction()   {}
func (Dispatch) isAction() {}
func (Reply) isAction()    {}

type callPhase uint8

const (
	callNew callPhase = iota
	callClaiming
	// callWaiting: another claim owns the key.
	callWaiting
	callDispatched
	callReplied
)

// Call decides about one call under one key at one entry instance.
type Call struct {
	claim       Claim
	honoursKeys bool
	claimBy     time.Time
	answerBy    time.Time
	expires     time.Time
	phase       callPhase
	// outstanding is set while the claim may still turn up on the log.
	outstanding bool
	// written is set once a backend server may have got the call.
	written    bool
	dispatches int
	released   bool
}

// CallConfig describes a call.
type CallConfig struct {
	Claim Claim
	// SupportsIdempotencyKeys says that the service runs a key at most once itself.
	SupportsIdempotencyKeys bool
	// ClaimDeadline is when to give up the claim, AnswerDeadline when to give up the call.
	ClaimDeadline  time.Time
	AnswerDeadline time.Time
	// Expires is when other instances may start to forget the key. A call that
	// slept past it must not run: an earlier one may have.
	Expires time.Time
}

// NewCall returns the decider of a call. Its first event must be a StateUpdate.
func NewCall(config CallConfig) *Call {
	return &Call{
		claim: config.Claim, honoursKeys: config.SupportsIdempotencyKeys,
		claimBy: config.ClaimDeadline, answerBy: config.AnswerDeadline, expires: config.Expires,
	}
}

// Ended reports whether the call needs no more events. A call that was
// answered while its claim could still turn up goes on, to release it.
func (c *Call) Ended() bool {
	return c.phase == callReplied && !c.outstanding
}

// Handle takes an event and returns what to do, in order.
func (c *Call) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case StateUpdate:
		return c.keyState(now, e.State)
	case Settled:
		c.outstanding = false
		return c.keyState(now, e.State)
	case Refused:
		return c.claimRefused(e.RetryAfter)
	case NotSent:
		return c.notWritten()
	case ResponseLost:
		return c.responseLost(now)
	case ResponseReceived:
		return c.answered(e.Response)
	case Tick:
		return c.tick(now)
	}
	return nil
}

func (c *Call) keyState(now time.Time, s KeyState) []Action {
	if s.Phase != PhaseFree && s.ID == c.claim.ID {
		return c.owner(now, s)
	}
	if c.phase == callDispatched || c.phase == callReplied {
		return nil
	}
	if !now.Before(c.expires) {
		return c.tooOld()
	}
	if s.Phase != PhaseFree && s.Phase != PhaseTrimmed && s.Digest != c.claim.Digest {
		return c.reply(Reply{Answer: OutcomeNotRun, AttemptNotRun: true, Code: CodeKeyReused})
	}
	switch s.Phase {
	case PhaseFree:
		return c.free()
	case PhaseOwned:
		c.phase = callWaiting
	case PhaseCompleted:
		return c.reply(Reply{Answer: OutcomeDone, AttemptNotRun: true, Response: s.Response})
	case PhaseOutcomeUnknown:
		return c.reply(Reply{Answer: OutcomeUnknown, AttemptNotRun: true, Code: CodeOutcomeUnknown})
	case PhaseTrimmed:
		return c.tooOld()
	}
	return nil
}

func (c *Call) tooOld() []Action {
	return c.reply(Reply{Answer: OutcomeUnknown, AttemptNotRun: true, Code: CodeKeyTooOld})
}

// free claims the key at the start. Later a free key was released, which voids
// this claim too; the caller comes back with a new attempt. This instance may
// read the release late, when a newer attempt has run, so only the owner that
// released the key could tell not-run.
func (c *Call) free() []Action {
	switch {
	case c.phase == callNew:
		c.phase = callClaiming
		c.outstanding = true
		return []Action{Append{Entry: c.claim}}
	case !c.outstanding || c.phase == callWaiting:
		return c.superseded()
	}
	return nil
}

// superseded gives up an attempt that lost against another one.
func (c *Call) superseded() []Action {
	return c.reply(Reply{
		Answer: OutcomeUnknown, AttemptNotRun: true, Code: CodeInProgress, RetryAfter: releaseRetryAfter,
	})
}

// owner is called when the ledger says that this claim owns the key.
func (c *Call) owner(now time.Time, s KeyState) []Action {
	c.outstanding = false
	if s.Phase != PhaseOwned || c.phase == callDispatched {
		return nil
	}
	if c.phase == callReplied {
		return c.release()
	}
	if !now.Before(c.expires) {
		return append(c.tooOld(), c.release()...)
	}
	if !now.Before(c.claimBy) {
		return append(c.notRun(CodeLogUnavailable), c.release()...)
	}
	return c.dispatch()
}

func (c *Call) dispatch() []Action {
	if err := invariant.Check(c.phase != callReplied && !c.released, invariant.TruthfulNotRun,
		"key %s dispatched after its caller was answered or it was released", c.claim.Key.UUID); err != nil {
		return nil
	}
	if err := invariant.Check(!c.written || c.honoursKeys, invariant.SingleDispatch,
		"key %s dispatched again after something was written", c.claim.Key.UUID); err != nil {
		return nil
	}
	c.phase = callDispatched
	c.dispatches++
	return []Action{Dispatch{}}
}

func (c *Call) claimRefused(retryAfter time.Duration) []Action {
	c.outstanding = false
	if c.phase != callClaiming {
		return nil
	}
	return c.unclaimed(retryAfter)
}

// unclaimed gives up without a claim. This attempt will never run, but an
// earlier one under the key may have, or may still.
func (c *Call) unclaimed(retryAfter time.Duration) []Action {
	return c.reply(Reply{
		Answer: OutcomeUnknown, AttemptNotRun: true, Code: CodeLogUnavailable,
		RetryAfter: max(retryAfter, releaseRetryAfter),
	})
}

func (c *Call) notRun(code Code) []Action {
	return c.reply(Reply{Answer: OutcomeNotRun, AttemptNotRun: true, Code: code, RetryAfter: releaseRetryAfter})
}

func (c *Call) release() []Action {
	if c.released || c.written {
		return nil
	}
	c.released = true
	return []Action{Append{Entry: Release{Key: c.claim.Key, ID: c.claim.ID}}}
}

func (c *Call) notWritten() []Action {
	if c.phase != callDispatched {
		return nil
	}
	if c.dispatches < maxDispatches {
		return c.dispatch()
	}
	if c.written {
		return c.unknown()
	}
	return append(c.notRun(CodeNoBackend), c.release()...)
}

func (c *Call) responseLost(now time.Time) []Action {
	if c.phase != callDispatched {
		return nil
	}
	c.written = true
	if c.honoursKeys && c.dispatches < maxDispatches && now.Before(c.answerBy) {
		return c.dispatch()
	}
	return c.unknown()
}

func (c *Call) unknown() []Action {
	outcome := Outcome{Key: c.claim.Key, ID: c.claim.ID, Result: ResultUnknown}
	return append(c.reply(Reply{Answer: OutcomeUnknown, Code: CodeOutcomeUnknown}), Append{Entry: outcome})
}

func (c *Call) answered(response Response) []Action {
	if c.phase != callDispatched {
		return nil
	}
	c.written = true
	outcome := Outcome{Key: c.claim.Key, ID: c.claim.ID, Result: ResultDone, Response: response}
	return append(c.reply(Reply{Answer: OutcomeDone, Response: response}), Append{Entry: outcome})
}

func (c *Call) tick(now time.Time) []Action {
	switch c.phase {
	case callClaiming:
		if !now.Before(c.claimBy) {
			return c.unclaimed(releaseRetryAfter)
		}
	case callWaiting:
		if !now.Before(c.answerBy) {
			return c.superseded()
		}
	}
	return nil
}

func (c *Call) reply(r Reply) []Action {
	c.phase = callReplied
	return []Action{r}
}
