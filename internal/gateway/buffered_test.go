package gateway

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// TestOutcomesAreTrue plays any series of outcomes on a plain request. A caller is
// told not-run only where no send may have run, and what may run once is not sent
// again after a send that may have.
func TestOutcomesAreTrue(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		route := &deployment.Route{
			Kind:        rapid.SampledFrom([]deployment.RequestKind{deployment.Idempotent, deployment.NonIdempotent}).Draw(t, "kind"),
			MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
		}
		p := &plain{call: &call{decision: routing.Decision{Route: route}}, best: notRun{cause: errNoBackend}}
		ran := 0
		for range mostSends {
			var result outcome
			switch rapid.IntRange(0, 3).Draw(t, "outcome") {
			case 0:
				result = notRun{cause: errors.New("refused")}
			case 1:
				result = unknown{cause: errors.New("broken")}
				ran++
			case 2:
				result = answered{status: 500}
				ran++
			case 3:
				result = answered{status: 200}
				ran++
			}
			p.note(result)
			if !p.again(result) {
				break
			}
			if ran > 0 && route.Kind != deployment.Idempotent {
				t.Fatal("sent again although it may have run")
			}
			if ran >= route.MaxAttempts {
				t.Fatalf("sent again after %d of %d attempts", ran, route.MaxAttempts)
			}
		}
		if _, told := p.best.(notRun); told && ran > 0 {
			t.Fatal("told not-run although it may have run")
		}
	})
}
