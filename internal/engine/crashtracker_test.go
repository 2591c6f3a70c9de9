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
	s := NewCrashTracker()
	const poison, good, late = 1, 2, 3
	for _, request := range []Fingerprint{poison, good, late} {
		assert.Assert(t, s.RecordCrash(now, request, "first", true))
	}
	// One good request has made a token on the second runner when the poison
	// starts there.
	s.Acquire(good, hops("second"))
	assert.Assert(t, !s.CanStart(poison, "second"))
	s.RecordProgress(good)
	assert.Assert(t, s.CanStart(poison, "second"))
	s.Acquire(poison, hops("second"))
	assert.Assert(t, !s.CanStart(late, "second"))
	s.RecordCrash(now, poison, "second", s.Attributable(poison, "second"))
	s.RecordCrash(now, good, "second", s.Attributable(good, "second"))
	assert.Assert(t, s.IsQuarantined(now, poison))
	assert.Assert(t, !s.IsQuarantined(now, good))
	assert.Assert(t, !s.IsQuarantined(now, late))
	assert.Assert(t, !s.IsQuarantined(now.Add(suspectMemory), poison))
}

// TestSharedCrashConvictsNone lets two requests that both have made tokens
// share a second crash: neither is blamed, and both run apart from then on.
func TestSharedCrashConvictsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewCrashTracker()
	for _, request := range []Fingerprint{1, 2} {
		s.RecordCrash(now, request, "first", true)
		s.Acquire(request, hops("second"))
		s.RecordProgress(request)
	}
	for _, request := range []Fingerprint{1, 2} {
		s.RecordCrash(now, request, "second", s.Attributable(request, "second"))
		assert.Assert(t, !s.IsQuarantined(now, request))
	}
	s.Release(1)
	s.Release(2)
	s.Acquire(1, hops("third"))
	s.RecordProgress(1)
	assert.Assert(t, !s.CanStart(2, "third"))
	s.RecordCrash(now, 1, "third", s.Attributable(1, "third"))
	assert.Assert(t, s.IsQuarantined(now, 1))
	assert.Assert(t, !s.IsQuarantined(now, 2))
}

// TestRackConvictsNone lets many runners crash at once.
func TestRackConvictsNone(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewCrashTracker()
	for i := range 2 * massCrashes {
		s.RecordCrash(now, Fingerprint(100+i), fmt.Sprint("runner-", i), true)
	}
	s.RecordCrash(now, 100, "runner-1", true)
	assert.Assert(t, !s.IsQuarantined(now, 100))
}

// TestOrdersKeepCover changes a model's version runner by runner.
func TestOrdersKeepCover(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleetOf(map[runner.ID]Report{
		"a": {Range: runner.LayerRange{End: 2}}, "b": {Range: runner.LayerRange{End: 2}},
		"c": {Range: runner.LayerRange{First: 2, End: 4}}, "d": {Range: runner.LayerRange{First: 2, End: 4}},
	}, now)
	o := NewRolloutPlanner("zone-a")
	model := modelOf("v2")
	var changed []runner.ID
	for range 40 {
		for _, order := range o.Next(now, 7, model, f) {
			changed = append(changed, order.Runner)
			r, _ := f.Runner(order.Runner)
			report := r.Report
			report.Version = "v2"
			f.RecordReport(now, order.Runner, report)
		}
		covered := false
		for _, version := range []string{"v1", "v2"} {
			_, err := f.ChoosePath(now, PathQuery{Model: "m", Version: modelOf(version)[0].Version, Layers: 4})
			covered = covered || err == nil
		}
		assert.Assert(t, covered, "after %v", changed)
		now = now.Add(time.Second)
	}
	assert.Equal(t, len(changed), 4)
}
