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

// The invariants that the program checks.
const (
	LayerOrder      Name = "layer-order"
	AnswerOwner     Name = "answer-owner"
	SingleDispatch  Name = "single-dispatch"
	TruthfulNotRun  Name = "truthful-not-run"
	VersionMonotone Name = "version-monotone"
	FencingMonotone Name = "fencing-monotone"
	LogPrefix       Name = "log-prefix"
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
