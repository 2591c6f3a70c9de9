package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/gateway"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// TestLoadScheduleKeepsRegularReports guards against early reports that put off the regular ones, by
// which others know that this instance is there, and against regular ones in each tick.
func TestLoadScheduleKeepsRegularReports(t *testing.T) {
	var schedule loadSchedule
	regular, sent := 0, 0
	loads := backend.StageLoads{"s": 1}
	for tick := range 240 {
		now := time.UnixMilli(1_000_000).Add(time.Duration(tick) * earlyLoadInterval)
		early := tick%8 == 4 && tick < 80
		due := schedule.regular(now)
		if due {
			regular++
		}
		if early || due && !schedule.skips(loads) {
			schedule.told(loads, false)
			sent++
		}
	}
	assert.Equal(t, regular, 30, "each 400 ms of 12 s")
	assert.Equal(t, sent, 1+10+6, "the first, the early ones, and each third of the 20 regular ones after them")
}

// TestZoneLoadsAreRelayedEarly guards against loans between zones that wait for the regular relay, and
// against relays of what has hardly changed, or was relayed just before.
func TestZoneLoadsAreRelayedEarly(t *testing.T) {
	var relays zoneRelays
	now := time.UnixMilli(1_000_000)
	report := func(spent, loan float64) gateway.ZoneRetryReports {
		return gateway.ZoneRetryReports{"s": {Spending: retrybudget.Spending{Allowed: 100, Spent: spent}, Lenders: 20, Loan: loan}}
	}
	due := func(after time.Duration, reports gateway.ZoneRetryReports) bool {
		now = now.Add(after)
		return relays.due(now, "z", reports)
	}
	assert.Assert(t, due(0, report(0, 0)))
	assert.Assert(t, !due(100*time.Millisecond, report(10, 0)))
	assert.Assert(t, due(0, report(50, 0)), "half of what was left")
	assert.Assert(t, !due(0, report(50, 9)), "just now")
	assert.Assert(t, due(50*time.Millisecond, report(50, 9)), "a loan")
	assert.Assert(t, !due(50*time.Millisecond, report(50, 9)))
	assert.Assert(t, due(250*time.Millisecond, report(50, 9)), "the regular time")
}

// TestRetryReportsPassThroughMessages guards against fields of the reports that messages leave out.
func TestRetryReportsPassThroughMessages(t *testing.T) {
	reports := gateway.RetryReports{"s": {
		Spending: retrybudget.Spending{Allowed: 5, Spent: 2}, Loans: map[retrybudget.Borrower]float64{{Zone: "z"}: 1.5},
	}}
	var loads peer.StageLoads
	setRetryReports(&loads, reports)
	assert.DeepEqual(t, retryReportsOf(loads), reports)
	zoneReports := gateway.ZoneRetryReports{"s": {Spending: retrybudget.Spending{Allowed: 5, Spent: 2}, Lenders: 3, Loan: 1.5}}
	var zone peer.ZoneLoads
	setZoneRetryReports(&zone, zoneReports)
	assert.DeepEqual(t, zoneRetryReportsOf(zone), zoneReports)
}
