// Package invariant asserts, inside the running program, what must always hold.
//
// Usage: call Check at the point where a violation could first be seen and
// refuse the one operation when it returns an error:
//
//	if err := invariant.Check(next == want, invariant.LayerOrder, "got layer 3, want 4"); err != nil {
//		return err
//	}
//
// A violation panics unless a reporter was installed, so that every test fails
// on it. A daemon installs a reporter that counts and logs instead.
package invariant

import (
	"fmt"
	"sync/atomic"
)

// Name identifies one invariant in logs and metrics.
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

// ViolationError reports a broken invariant. The operation that broke it must
// be refused.
type ViolationError struct {
	Name   Name
	Detail string
}

func (e *ViolationError) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", e.Name, e.Detail)
}

// Reporter receives each violation.
type Reporter func(*ViolationError)

var reporter atomic.Pointer[Reporter]

// SetReporter replaces the panic on violation by a call to r.
// A nil r restores the panic.
func SetReporter(r Reporter) {
	if r == nil {
		reporter.Store(nil)
		return
	}
	reporter.Store(&r)
}

// Check returns nil when ok holds. Otherwise it reports the violation and
// returns a *ViolationError.
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
