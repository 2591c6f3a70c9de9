package daemon

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// TestQuotaFractionsSumToZoneFraction splits a team's limit over the instances of a
// zone. For any distribution of demand, every instance must get a positive
// fraction and the fractions must add up to the fraction of the zone, or the team
// could exceed its limit. An instance whose peers' demand has expired falls back
// to its own demand only.
func TestQuotaFractionsSumToZoneFraction(t *testing.T) {
	const team = environment.TeamName("t")
	for name, demandByInstance := range map[string][]float64{
		"equal demand":                {5, 5, 5, 5},
		"demand at one instance":      {9, 0, 0, 0},
		"no demand":                   {0, 0, 0, 0},
		"one instance without demand": {3, 1, 7, 0},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0.0
			for self, own := range demandByInstance {
				d := newDemandTracker()
				for other, demand := range demandByInstance {
					if other != self {
						id := instancelist.ID(rune('a' + other))
						d.record(time.Unix(0, 0), id, peer.Demand{Teams: map[environment.TeamName]float64{team: demand}})
					}
				}
				fraction := d.quotaFraction(team, own, len(demandByInstance), 2*len(demandByInstance))
				assert.Assert(t, fraction > 0)
				total += fraction
			}
			// Half of all instances are in this zone.
			assert.Assert(t, math.Abs(total-0.5) < 1e-9, "%f", total)
		})
	}
	isolated := newDemandTracker()
	isolated.record(time.Unix(0, 0), "a", peer.Demand{Teams: map[environment.TeamName]float64{team: 9}})
	isolated.expire(time.Unix(100, 0), 10*time.Second)
	assert.Equal(t, isolated.quotaFraction(team, 9, 4, 8), 0.5*(0.5/4+0.5))
}

// TestLoadSharer checks that a full report is sent when anything but the load has
// changed, only the load otherwise, and that a runner that is no longer polled is
// removed and later sent in full again.
func TestLoadSharer(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLoadSharer()
	report := engine.Report{Incarnation: "i", Model: "m", Sessions: 3}
	step := func(r *engine.Report) (full, updates int) {
		if r != nil {
			s.record("runner", *r)
		}
		now = now.Add(time.Second)
		loads, changes := s.takePending(now)
		return len(loads.Reports), len(changes.Updates)
	}
	for _, test := range []struct {
		change  func()
		polled  bool
		full    int
		updates int
	}{
		{func() {}, true, 1, 0},
		{func() { report.Sessions = 9 }, true, 0, 1},
		{func() {}, true, 0, 1},
		{func() { report.Leaving = true }, true, 1, 0},
		{func() {}, false, 0, 0},
		{func() {}, true, 1, 0},
	} {
		test.change()
		var polled *engine.Report
		if test.polled {
			polled = &report
		}
		full, updates := step(polled)
		assert.Equal(t, full, test.full)
		assert.Equal(t, updates, test.updates)
	}
}

// TestRank checks that instances that are not shutting down have distinct ranks, so
// that they write checkpoints in a fixed order.
func TestRank(t *testing.T) {
	entries := []instancelist.Instance{{ID: "a", Leaving: true}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	for want, self := range []instancelist.ID{"b", "c", "d"} {
		assert.Equal(t, rank(self, entries), want)
	}
}
