package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// TestInstancesTogetherStayWithinBudget lets many instances retry at random, some far more
// than others, and report to one another at an interval, some reports lost. All together
// must stay within the bound in every window.
func TestInstancesTogetherStayWithinBudget(t *testing.T) {
	const (
		instances = 12
		ratio     = 0.2
		reserve   = 60.0
		window    = 10 * time.Second
		tick      = 50 * time.Millisecond
	)
	prove.Random(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var budgets []*WindowBudget
		var exchanges []*Exchange
		for i := range instances {
			budget := NewWindowBudget(now.Add(-time.Hour), Bounds{Ratio: ratio, Reserve: reserve, Window: window}, instances)
			exchange := NewExchange(budget, deployment.InstanceID(rune('a'+i)), "z")
			exchange.SetCounts(instances, instances)
			budgets, exchanges = append(budgets, budget), append(exchanges, exchange)
		}
		var requests, retries []time.Time
		busy := rapid.IntRange(1, instances).Draw(t, "busy")
		for step := range 300 {
			now = now.Add(tick)
			if rapid.IntRange(0, 2).Draw(t, "request") == 0 {
				budgets[step%instances].RecordRequest(now)
				requests = append(requests, now)
			}
			for i := range busy {
				if budgets[i].Take(now, true) {
					retries = append(retries, now)
				}
			}
			if step%4 == 0 {
				exchangeReports(t, now, exchanges)
			}
			allowed := reserve + ratio*float64(mostRequests(requests, now, window))
			if spent := within(retries, now, window); float64(spent) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f", spent, allowed)
			}
		}
	})
}

// mostRequests returns the requests of the window that ends now, the one before it or the one
// half a window before it, whichever has most: a retry may follow a request of a moment ago.
func mostRequests(requests []time.Time, now time.Time, window time.Duration) int {
	most := 0
	for _, end := range []time.Time{now, now.Add(-window / 2), now.Add(-window)} {
		var before []time.Time
		for _, at := range requests {
			if !at.After(end) {
				before = append(before, at)
			}
		}
		most = max(most, within(before, end, window))
	}
	return most
}

// exchangeReports passes the reports on, but for those of one instance that may be lost.
func exchangeReports(t *rapid.T, now time.Time, exchanges []*Exchange) {
	lost := rapid.IntRange(-1, len(exchanges)-1).Draw(t, "lost")
	for i, from := range exchanges {
		report := from.Report(now)
		for j, to := range exchanges {
			if i != lost && i != j {
				to.SetPeer(now, from.self, report)
			}
		}
	}
	for _, exchange := range exchanges {
		exchange.Update(now)
	}
}
