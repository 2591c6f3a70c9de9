package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
)

// TestWindowBudgetHoldsInEveryWindow simulates random requests and retries with restarts,
// and checks the bound after each step for the window that ends there.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		ratio   = 0.2
		reserve = 30.0
		window  = 10 * time.Second
	)
	prove.Random(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		budget := NewWindowBudget(now.Add(-time.Hour), Bounds{Ratio: ratio, Reserve: reserve, Window: window}, 1)
		var requests, retries []time.Time
		for range rapid.IntRange(200, 800).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 120).Draw(t, "what") {
			case 0:
				budget = NewWindowBudget(now, Bounds{Ratio: ratio, Reserve: reserve, Window: window}, 1)
			case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
				budget.RecordRequest(now)
				requests = append(requests, now)
			default:
				if budget.Take(now, rapid.Bool().Draw(t, "urgent")) {
					retries = append(retries, now)
				}
			}
			allowed := reserve + ratio*float64(within(requests, now, window))
			if spent := within(retries, now, window); float64(spent) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f", spent, allowed)
			}
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if now.Sub(at) < window {
			count++
		}
	}
	return count
}

// TestSetBounds checks that new bounds apply at once, and that a window of another length
// has no reserve at first.
func TestSetBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := NewWindowBudget(now.Add(-time.Hour), Bounds{Reserve: 10, Window: 10 * time.Second}, 1)
	assert.Assert(t, budget.Take(now, true))
	budget.SetBounds(now, Bounds{Reserve: 1, Window: 10 * time.Second})
	assert.Assert(t, !budget.Take(now, true))
	budget.SetBounds(now, Bounds{Reserve: 10, Window: 5 * time.Second})
	assert.Assert(t, !budget.Take(now, true))
	assert.Assert(t, budget.Take(now.Add(5001*time.Millisecond), true))
}
