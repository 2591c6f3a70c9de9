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

// TestSharesAddUp splits a tenant's limit over instances by any demand: the
// parts never add up to more than the whole, and one that is cut off keeps a
// part of its own.
func TestSharesAddUp(t *testing.T) {
	const tenant = environment.TeamName("t")
	for name, used := range map[string][]float64{
		"even":       {5, 5, 5, 5},
		"one asks":   {9, 0, 0, 0},
		"nobody":     {0, 0, 0, 0},
		"one is new": {3, 1, 7, 0},
	} {
		t.Run(name, func(t *testing.T) {
			total := 0.0
			for self, own := range used {
				d := newDemands()
				for other, asked := range used {
					if other != self {
						id := instancelist.ID(rune('a' + other))
						d.take(time.Unix(0, 0), id, peer.Demand{Teams: map[environment.TeamName]float64{tenant: asked}})
					}
				}
				share := d.share(tenant, own, len(used), 2*len(used))
				assert.Assert(t, share > 0)
				total += share
			}
			// The zone is half of all instances.
			assert.Assert(t, math.Abs(total-0.5) < 1e-9, "%f", total)
		})
	}
	cut := newDemands()
	cut.take(time.Unix(0, 0), "a", peer.Demand{Teams: map[environment.TeamName]float64{tenant: 9}})
	cut.forget(time.Unix(100, 0), 10*time.Second)
	assert.Equal(t, cut.share(tenant, 9, 4, 8), 0.5*(0.5/4+0.5))
}

// TestLoadSharer tells a report whole when its kind changed, else its load, and
// forgets a runner that is no longer polled here.
func TestLoadSharer(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newLoadSharer()
	report := engine.Report{Incarnation: "i", Model: "m", Sessions: 3}
	step := func(r *engine.Report) (whole, deltas int) {
		if r != nil {
			s.note("runner", *r)
		}
		now = now.Add(time.Second)
		loads, changed := s.next(now)
		return len(loads.Reports), len(changed.Updates)
	}
	for _, test := range []struct {
		change func()
		polled bool
		whole  int
		deltas int
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
		whole, deltas := step(polled)
		assert.Equal(t, whole, test.whole)
		assert.Equal(t, deltas, test.deltas)
	}
}

// TestRank orders the writers of checkpoints: no two that stay share a rank.
func TestRank(t *testing.T) {
	entries := []instancelist.Instance{{ID: "a", Leaving: true}, {ID: "b"}, {ID: "c"}, {ID: "d"}}
	for want, self := range []instancelist.ID{"b", "c", "d"} {
		assert.Equal(t, rank(self, entries), want)
	}
}
