package claim

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/invariant"
)

const (
	// minRetryAfter is the minimum Retry-After of replies that ask the caller to
	// retry.
	minRetryAfter = 1 * time.Second
	// maxDispatches limits the dispatches of one call to backend servers.
	maxDispatches = 3
)

// CallOutcome is what the reply to a caller states about the effect of the call.
type CallOutcome string

// The outcomes. Their text is the value of the outcome header.
const (
	OutcomeDone    CallOutcome = "done"
	OutcomeNotRun  CallOutcome = "not-run"
	OutcomeUnknown CallOutcome = "unknown"
)

// Code is the reason why a call has no response. Callers rely on its text, which
// must not change.
type Code string

// The codes of replies.
const (
	CodeNone           Code = ""
	CodeKeyReused      Code = "key-reused"
	CodeLogUnavailable Code = "log-unavailable"
	CodeNoBackend      Code = "no-backend-server"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeInProgress     Code = "in-progress"
	CodeKeyTooOld      Code = "idempotency-key-too-old"
)

// Event is an input of the state machine of a call.
type Event interface {
	isEvent()
}

// StateUpdate reports the state of the key, at the start and after each change.
// It may be repeated without a change.
type StateUpdate struct {
	State KeyState
}

// Applied reports that the record that holds the claim was applied to the
// KeyTable: State shows whether the claim owns the key.
type Applied struct {
	State KeyState
}

// Refused reports that the claim was not appended and never will be.
type Refused struct {
	RetryAfter time.Duration
}

// NotSent reports that a dispatch wrote nothing to a backend server.
type NotSent struct{}

// ResponseLost reports that a dispatch wrote to a backend server and received no
// response.
type ResponseLost struct{}

// ResponseReceived carries the response of the backend server.
type ResponseReceived struct {
	Response Response
}

// Tick is sent periodically, so that the call checks its deadlines.
type Tick struct{}

func (StateUpdate) isEvent()      {}
func (Applied) isEvent()          {}
func (Refused) isEvent()          {}
func (NotSent) isEvent()          {}
func (ResponseLost) isEvent()     {}
func (ResponseReceived) isEvent() {}
func (Tick) isEvent()             {}

// Action is an output of the state machine of a call.
type Action interface {
	isAction()
}

// Append requests that an entry be appended to the log.
type Append struct {
	Entry Entry
}

// Dispatch requests that the call be sent to a backend server that has not been
// tried before, if there is one.
type Dispatch struct{}

// Reply is the final reply to the caller.
type Reply struct {
	// Outcome is that of the key: not-run means that no attempt under the
	// key that has started ran or ever will run. Only the owner of the key can
	// know that. With CodeKeyReused, not-run refers to this request only, not to
	// the other request that uses the key.
	Outcome CallOutcome
	// AttemptNotRun reports that this attempt did not run and never will, even if
	// another one under the same key may have.
	AttemptNotRun bool
	Code          Code
	Response      Response
	// RetryAfter is the delay before a retry, 0 if a retry does not help.
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

// Call is the state machine of one call under one key at one entry instance. It
// does no I/O.
type Call struct {
	claim                   Claim
	supportsIdempotencyKeys bool
	claimDeadline           time.Time
	replyDeadline           time.Time
	expires                 time.Time
	phase                   callPhase
	// claimPending is set while the claim may be appended later or its record has
	// not been read yet.
	claimPending bool
	// maybeSent is set once a backend server may have received the call.
	maybeSent  bool
	dispatches int
	released   bool
}

// CallConfig describes a call.
type CallConfig struct {
	Claim Claim
	// SupportsIdempotencyKeys reports that the service itself runs a key at most once.
	SupportsIdempotencyKeys bool
	// ClaimDeadline ends the wait for the claim. ReplyDeadline ends the wait for
	// another owner of the key and the retries after a lost response.
	ClaimDeadline time.Time
	ReplyDeadline time.Time
	// Expires is when other instances may start to evict the key. A call that is
	// delayed past it must not run, since an earlier attempt may have run.
	Expires time.Time
}

// NewCall returns the state machine of a call. Its first event must be a
// StateUpdate.
func NewCall(config CallConfig) *Call {
	return &Call{
		claim: config.Claim, supportsIdempotencyKeys: config.SupportsIdempotencyKeys,
		claimDeadline: config.ClaimDeadline, replyDeadline: config.ReplyDeadline, expires: config.Expires,
	}
}

// Ended reports whether the call needs no more events. A call that has replied
// while its claim may still be appended continues, to release the key then.
func (c *Call) Ended() bool {
	return c.phase == callReplied && !c.claimPending
}

// Handle processes an event and returns the actions to execute, in order.
func (c *Call) Handle(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case StateUpdate:
		return c.handleState(now, e.State)
	case Applied:
		c.claimPending = false
		return c.handleState(now, e.State)
	case Refused:
		return c.handleRefused(e.RetryAfter)
	case NotSent:
		return c.handleNotSent()
	case ResponseLost:
		return c.handleResponseLost(now)
	case ResponseReceived:
		return c.handleResponse(e.Response)
	case Tick:
		return c.handleTick(now)
	}
	return nil
}

func (c *Call) handleState(now time.Time, s KeyState) []Action {
	if s.Phase != PhaseFree && s.ID == c.claim.ID {
		return c.handleOwned(now, s)
	}
	if c.phase == callDispatched || c.phase == callReplied {
		return nil
	}
	if !now.Before(c.expires) {
		return c.replyKeyTooOld()
	}
	if s.Phase != PhaseFree && s.Phase != PhaseTrimmed && s.Digest != c.claim.Digest {
		return c.reply(Reply{Outcome: OutcomeNotRun, AttemptNotRun: true, Code: CodeKeyReused})
	}
	switch s.Phase {
	case PhaseFree:
		return c.handleFree()
	case PhaseOwned:
		c.phase = callWaiting
	case PhaseCompleted:
		return c.reply(Reply{Outcome: OutcomeDone, AttemptNotRun: true, Response: s.Response})
	case PhaseOutcomeUnknown:
		return c.reply(Reply{Outcome: OutcomeUnknown, AttemptNotRun: true, Code: CodeOutcomeUnknown})
	case PhaseTrimmed:
		return c.replyKeyTooOld()
	}
	return nil
}

func (c *Call) replyKeyTooOld() []Action {
	return c.reply(Reply{Outcome: OutcomeUnknown, AttemptNotRun: true, Code: CodeKeyTooOld})
}

// handleFree claims the key at the start. In callClaiming, the key is free until
// the pending claim is applied. Otherwise a free key means that another attempt
// released it, which invalidates this claim too; the caller must retry with a new
// attempt. This instance may read the release after a newer attempt has run, so
// only the owner that released the key can reply that the key did not run.
func (c *Call) handleFree() []Action {
	switch {
	case c.phase == callNew:
		c.phase = callClaiming
		c.claimPending = true
		return []Action{Append{Entry: c.claim}}
	case !c.claimPending || c.phase == callWaiting:
		return c.replyInProgress()
	}
	return nil
}

// replyInProgress ends an attempt that did not get the key because of another
// attempt.
func (c *Call) replyInProgress() []Action {
	return c.reply(Reply{
		Outcome: OutcomeUnknown, AttemptNotRun: true, Code: CodeInProgress, RetryAfter: minRetryAfter,
	})
}

// handleOwned handles a state in which this claim owns the key.
func (c *Call) handleOwned(now time.Time, s KeyState) []Action {
	c.claimPending = false
	if s.Phase != PhaseOwned || c.phase == callDispatched {
		return nil
	}
	if c.phase == callReplied {
		return c.release()
	}
	if !now.Before(c.expires) {
		return append(c.replyKeyTooOld(), c.release()...)
	}
	if !now.Before(c.claimDeadline) {
		return append(c.replyNotRun(CodeLogUnavailable), c.release()...)
	}
	return c.dispatch()
}

func (c *Call) dispatch() []Action {
	if err := invariant.Check(c.phase != callReplied && !c.released, invariant.TruthfulNotRun,
		"key %s dispatched after the reply to its caller or after its release", c.claim.Key.UUID); err != nil {
		return nil
	}
	if err := invariant.Check(!c.maybeSent || c.supportsIdempotencyKeys, invariant.SingleDispatch,
		"key %s dispatched again after a backend server may have received it", c.claim.Key.UUID); err != nil {
		return nil
	}
	c.phase = callDispatched
	c.dispatches++
	return []Action{Dispatch{}}
}

func (c *Call) handleRefused(retryAfter time.Duration) []Action {
	c.claimPending = false
	if c.phase != callClaiming {
		return nil
	}
	return c.replyClaimFailed(retryAfter)
}

// replyClaimFailed ends an attempt whose claim was refused or was not read back by
// claimDeadline. This attempt will never run, but another one under the key may
// have run or may still run.
func (c *Call) replyClaimFailed(retryAfter time.Duration) []Action {
	return c.reply(Reply{
		Outcome: OutcomeUnknown, AttemptNotRun: true, Code: CodeLogUnavailable,
		RetryAfter: max(retryAfter, minRetryAfter),
	})
}

func (c *Call) replyNotRun(code Code) []Action {
	return c.reply(Reply{Outcome: OutcomeNotRun, AttemptNotRun: true, Code: code, RetryAfter: minRetryAfter})
}

func (c *Call) release() []Action {
	if c.released || c.maybeSent {
		return nil
	}
	c.released = true
	return []Action{Append{Entry: Release{Key: c.claim.Key, ID: c.claim.ID}}}
}

func (c *Call) handleNotSent() []Action {
	if c.phase != callDispatched {
		return nil
	}
	if c.dispatches < maxDispatches {
		return c.dispatch()
	}
	if c.maybeSent {
		return c.recordUnknown()
	}
	return append(c.replyNotRun(CodeNoBackend), c.release()...)
}

func (c *Call) handleResponseLost(now time.Time) []Action {
	if c.phase != callDispatched {
		return nil
	}
	c.maybeSent = true
	if c.supportsIdempotencyKeys && c.dispatches < maxDispatches && now.Before(c.replyDeadline) {
		return c.dispatch()
	}
	return c.recordUnknown()
}

func (c *Call) recordUnknown() []Action {
	outcome := Outcome{Key: c.claim.Key, ID: c.claim.ID, Result: ResultUnknown}
	return append(c.reply(Reply{Outcome: OutcomeUnknown, Code: CodeOutcomeUnknown}), Append{Entry: outcome})
}

func (c *Call) handleResponse(response Response) []Action {
	if c.phase != callDispatched {
		return nil
	}
	c.maybeSent = true
	outcome := Outcome{Key: c.claim.Key, ID: c.claim.ID, Result: ResultDone, Response: response}
	return append(c.reply(Reply{Outcome: OutcomeDone, Response: response}), Append{Entry: outcome})
}

func (c *Call) handleTick(now time.Time) []Action {
	switch c.phase {
	case callClaiming:
		if !now.Before(c.claimDeadline) {
			return c.replyClaimFailed(minRetryAfter)
		}
	case callWaiting:
		if !now.Before(c.replyDeadline) {
			return c.replyInProgress()
		}
	}
	return nil
}

func (c *Call) reply(r Reply) []Action {
	c.phase = callReplied
	return []Action{r}
}
