package gateway

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// TestBufferedRetriesAndOutcome applies random series of outcomes to a buffered
// request. The client gets not-run only if no attempt may have run. A request that is not
// idempotent is not retried after an attempt that may have run, and no request is retried
// beyond the route's MaxAttempts.
func TestBufferedRetriesAndOutcome(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		route := &deployment.Route{
			Kind:        rapid.SampledFrom([]deployment.RequestKind{deployment.Idempotent, deployment.NonIdempotent}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		}
		b := &bufferedRequest{call: &call{decision: routing.Decision{Route: route}}, best: notRun{cause: errNoBackend}}
		ran := 0
		for range maxBufferedAttempts {
			var result outcome
			switch rapid.IntRange(0, 3).Draw(t, "outcome") {
			case 0:
				result = notRun{cause: errors.New("refused")}
			case 1:
				result = unknown{cause: errors.New("broken")}
				ran++
			case 2:
				result = responded{status: 500}
				ran++
			case 3:
				result = responded{status: 200}
				ran++
			}
			b.record(result)
			if !b.shouldRetry(result) {
				break
			}
			if ran > 0 && route.Kind != deployment.Idempotent {
				t.Fatal("retried although it may have run")
			}
			if ran >= route.MaxAttempts {
				t.Fatalf("retried after %d of %d attempts", ran, route.MaxAttempts)
			}
		}
		if _, isNotRun := b.best.(notRun); isNotRun && ran > 0 {
			t.Fatal("returned not-run although it may have run")
		}
	})
}
