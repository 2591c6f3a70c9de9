package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/runner"
)

func hops(ids ...runner.ID) Path {
	var path Path
	for _, id := range ids {
		path = append(path, Hop{Runner: id})
	}
	return path
}

// TestSecondCrashConvicts lets a request crash two runners, the second beside
// requests that shared the first.
func TestSecondCrashConvicts(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSuspects()
	const poison, good, late = 1, 2, 3
	for _, request := range []Fingerprint{poison, good, late} {
		assert.Assert(t, s.Crashed(now, request, "first", true))
	}
	// One good request has made a token on the second runner when the poison
	// starts there.
	s.Occupy(good, hops("second"))
	assert.Assert(t, !s.Free(poison, "second"))
	s.Passed(good)
	assert.Assert(t, s.Free(poison, "second"))
	s.Occupy(poison, hops("second"))
	assert.Assert(t, !s.Free(late, "second"))
	s.Crashed(now, poison, "second", s.Alone(poison, "second"))
	s.Crashed(now, good, "second", s.Alone(good, "second"))
	assert.Assert(t, s.Quarantined(now, poison))
	assert.Assert(t, !s.Quarantined(now, good))
	assert.Assert(t, !s.Quarantined(now, late))
	assert.Assert(t, !s.Quarantined(now.Add(suspectMemory), poison))
}

// TestSharedCrashConvictsNone lets two requests that both have made tokens
// share a second crash: neither is blamed, and both run apart from then on.
func TestSharedCrashConvictsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSuspects()
	for _, request := range []Fingerprint{1, 2} {
		s.Crashed(now, request, "first", true)
		s.Occupy(request, hops("second"))
		s.Passed(request)
	}
	for _, request := range []Fingerprint{1, 2} {
		s.Crashed(now, request, "second", s.Alone(request, "second"))
		assert.Assert(t, !s.Quarantined(now, request))
	}
	s.Vacate(1)
	s.Vacate(2)
	s.Occupy(1, hops("third"))
	s.Passed(1)
	assert.Assert(t, !s.Free(2, "third"))
	s.Crashed(now, 1, "third", s.Alone(1, "third"))
	assert.Assert(t, s.Quarantined(now, 1))
	assert.Assert(t, !s.Quarantined(now, 2))
}

// TestRackConvictsNone lets many runners crash at once.
func TestRackConvictsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSuspects()
	for i := range 2 * massCrashes {
		s.Crashed(now, Fingerprint(100+i), fmt.Sprint("runner-", i), true)
	}
	s.Crashed(now, 100, "runner-1", true)
	assert.Assert(t, !s.Quarantined(now, 100))
}

// TestOrdersKeepCover changes a model's version runner by runner.
func TestOrdersKeepCover(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleetOf(map[runner.ID]Report{
		"a": {Range: runner.LayerRange{End: 2}}, "b": {Range: runner.LayerRange{End: 2}},
		"c": {Range: runner.LayerRange{First: 2, End: 4}}, "d": {Range: runner.LayerRange{First: 2, End: 4}},
	}, now)
	o := NewOrders("zone-a")
	model := modelOf("v2")
	var changed []runner.ID
	for range 40 {
		for _, order := range o.Next(now, 7, model, f) {
			changed = append(changed, order.Runner)
			r, _ := f.Runner(order.Runner)
			report := r.Report
			report.Version = "v2"
			f.Reported(now, order.Runner, report)
		}
		covered := false
		for _, version := range []string{"v1", "v2"} {
			_, err := f.Choose(now, Query{Model: "m", Version: modelOf(version)[0].Version, Layers: 4})
			covered = covered || err == nil
		}
		assert.Assert(t, covered, "after %v", changed)
		now = now.Add(time.Second)
	}
	assert.Equal(t, len(changed), 4)
}
