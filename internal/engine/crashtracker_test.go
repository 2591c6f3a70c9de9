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

// TestSecondCrashQuarantines guards against quarantining a request that shares a
// crash with the one that caused it. All three requests share the first crash. At
// the second, the poison request has not emitted a token since it started, the good
// one has, and the late one has not been allowed to start.
func TestSecondCrashQuarantines(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewCrashTracker()
	const poison, good, late = 1, 2, 3
	for _, request := range []Fingerprint{poison, good, late} {
		assert.Assert(t, tracker.RecordCrash(now, request, "first", true))
	}
	// The good request has emitted a token on the second runner before the
	// poison request starts there.
	tracker.Acquire(good, hops("second"))
	assert.Assert(t, !tracker.CanStart(poison, "second"))
	tracker.RecordProgress(good)
	assert.Assert(t, tracker.CanStart(poison, "second"))
	tracker.Acquire(poison, hops("second"))
	assert.Assert(t, !tracker.CanStart(late, "second"))
	tracker.RecordCrash(now, poison, "second", tracker.Attributable(poison, "second", "second"))
	tracker.RecordCrash(now, good, "second", tracker.Attributable(good, "second", "second"))
	assert.Assert(t, tracker.IsQuarantined(now, poison))
	assert.Assert(t, !tracker.IsQuarantined(now, good))
	assert.Assert(t, !tracker.IsQuarantined(now, late))
	assert.Assert(t, !tracker.IsQuarantined(now.Add(suspectTTL), poison))
}

// TestSharedCrashQuarantinesNone guards against attributing a crash that two
// suspects share after both have emitted tokens: neither is quarantined, and from
// then on both run isolated, so that a third crash can be attributed.
func TestSharedCrashQuarantinesNone(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewCrashTracker()
	for _, request := range []Fingerprint{1, 2} {
		tracker.RecordCrash(now, request, "first", true)
		tracker.Acquire(request, hops("second"))
		tracker.RecordProgress(request)
	}
	for _, request := range []Fingerprint{1, 2} {
		tracker.RecordCrash(now, request, "second", tracker.Attributable(request, "second", "second"))
		assert.Assert(t, !tracker.IsQuarantined(now, request))
	}
	tracker.Release(1)
	tracker.Release(2)
	tracker.Acquire(1, hops("third"))
	tracker.RecordProgress(1)
	assert.Assert(t, !tracker.CanStart(2, "third"))
	tracker.RecordCrash(now, 1, "third", tracker.Attributable(1, "third", "third"))
	assert.Assert(t, tracker.IsQuarantined(now, 1))
	assert.Assert(t, !tracker.IsQuarantined(now, 2))
}

// TestCrashNoticedLastQuarantinesNone guards against quarantining a request because the
// one that caused the crash noticed it first and has left the runner.
func TestCrashNoticedLastQuarantinesNone(t *testing.T) {
	for name, order := range map[string][]Fingerprint{"poison first": {1, 2}, "good first": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			tracker := NewCrashTracker()
			const poison, good = 1, 2
			for _, request := range order {
				tracker.RecordCrash(now, request, "first", true)
			}
			tracker.Acquire(good, hops("second"))
			tracker.RecordProgress(good)
			tracker.Acquire(poison, hops("second"))
			for _, request := range order {
				tracker.RecordCrash(now, request, "second", tracker.Attributable(request, "second", "second"))
				tracker.Release(request)
			}
			assert.Assert(t, tracker.IsQuarantined(now, poison))
			assert.Assert(t, !tracker.IsQuarantined(now, good))
		})
	}
}

// TestMassCrashQuarantinesNone guards against quarantining a request when many
// runners crash at once, as when a rack loses power.
func TestMassCrashQuarantinesNone(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewCrashTracker()
	for i := range 2 * massCrashThreshold {
		tracker.RecordCrash(now, Fingerprint(100+i), fmt.Sprint("runner-", i), true)
	}
	tracker.RecordCrash(now, 100, "runner-1", true)
	assert.Assert(t, !tracker.IsQuarantined(now, 100))
}

// TestRolloutKeepsLayersCovered changes the version of a model on four runners, two
// for each half of its layers. All are changed, and after each step one version
// still covers all layers.
func TestRolloutKeepsLayersCovered(t *testing.T) {
	now := time.Unix(1000, 0)
	f := fleetOf(map[runner.ID]Report{
		"a": {Range: runner.LayerRange{End: 2}}, "b": {Range: runner.LayerRange{End: 2}},
		"c": {Range: runner.LayerRange{First: 2, End: 4}}, "d": {Range: runner.LayerRange{First: 2, End: 4}},
	}, now)
	planner := NewRolloutPlanner("zone-a")
	model := modelOf("v2")
	var changed []runner.ID
	for range 40 {
		for _, order := range planner.Next(now, 7, model, f) {
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
