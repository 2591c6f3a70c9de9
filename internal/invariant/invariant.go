// Package invariant checks invariants of the program at run time.
//
// Usage: call Check at the earliest point that can detect a violation, and abort only
// the current operation if it returns an error:
//
//	if err := invariant.Check(next == want, invariant.LayerOrder, "got layer %d, want %d", next, want); err != nil {
//		return err
//	}
//
// A violation panics unless a reporter is installed, so that tests fail on it. The
// programs install a reporter that counts and logs violations instead.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies an invariant in logs and metrics.
type Name string

// The invariants of the program.
const (
	// LayerOrder: the hops of a request run every layer once and in order, and the next
	// token follows only after the last layer has run at all positions.
	LayerOrder Name = "layer-order"
	// AnswerOwner is not checked anywhere.
	AnswerOwner Name = "answer-owner"
	// SingleDispatch: no second dispatch under an idempotency key once a backend server
	// may have received the request, unless it supports idempotency keys.
	SingleDispatch Name = "single-dispatch"
	// TruthfulNotRun: no dispatch after the reply to the caller, which may have reported
	// that the request did not run, or after the release of the idempotency key.
	TruthfulNotRun Name = "truthful-not-run"
	// VersionMonotone: the version of an active entry never decreases.
	VersionMonotone Name = "version-monotone"
	// FencingMonotone: a newly granted lease has a higher fencing token than the
	// current one.
	FencingMonotone Name = "fencing-monotone"
	// LogPrefix: no record is applied at an offset beyond the next one that is expected.
	LogPrefix Name = "log-prefix"
)

// ViolationError reports a violated invariant. The operation that would violate it
// must be aborted.
type ViolationError struct {
	Name   Name
	Detail string
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Name, e.Detail)
}

// Reporter is called with each violation. It may be called concurrently.
type Reporter func(*ViolationError)

var reporter atomic.Pointer[Reporter]

// SetReporter makes violations call r instead of panicking, in the whole process. A
// nil r restores the panic.
func SetReporter(r Reporter) {
	if r == nil {
		reporter.Store(nil)
		return
	}
	reporter.Store(&r)
}

// Check returns nil if ok is true. Otherwise it calls the reporter and returns a
// *ViolationError, or panics with it if no reporter is installed.
func Check(ok bool, name Name, format string, args ...any) error {
	if ok {
		return nil
	}
	violation := &ViolationError{Name: name, Detail: fmt.Sprintf(format, args...)}
	if r := reporter.Load(); r != nil {
		(*r)(violation)
		return violation
	}
	panic(violation)
}
