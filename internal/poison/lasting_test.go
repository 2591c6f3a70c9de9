package poison

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
)

// TestRecordHoldsTheSameKeys guards against a record that leaves out a cleared part, so that the rest of
// an attempt's keys seem more general than they are, and a part is held in place of a request.
func TestRecordHoldsTheSameKeys(t *testing.T) {
	tracker := NewTracker(0)
	badRequest, otherRequest := []Key{1, 4, 10}, []Key{2, 4, 7}
	for i, step := range []struct {
		at    time.Duration
		ended []Key // a server on a request with these keys, or
		begun Key   // an answer with this key
	}{
		{2000 * time.Millisecond, badRequest, 0}, {2400 * time.Millisecond, nil, 99}, {4400 * time.Millisecond, nil, 4},
		{4800 * time.Millisecond, otherRequest, 0}, {5200 * time.Millisecond, nil, 99}, {5600 * time.Millisecond, otherRequest, 0},
		{6000 * time.Millisecond, badRequest, 0}, {6400 * time.Millisecond, nil, 1}, {6800 * time.Millisecond, badRequest, 0},
	} {
		if step.ended == nil {
			tracker.RecordBegun(at(step.at), []Key{step.begun})
			continue
		}
		tracker.RecordEnd(at(step.at), at(step.at), server(i), []Blamed{{Attempt: Attempt(i), Keys: step.ended}})
	}
	now := at(10 * time.Second)
	next := NewTracker(0)
	next.Merge(now, tracker.Lasting(now))
	assert.DeepEqual(t, verdictsOf(tracker, now), []Key{10})
	assert.DeepEqual(t, verdictsOf(next, now), []Key{10})
}

// TestHeldRequestIsForgottenWithAllInstances guards against evidence that, read after all instances have
// ended, holds other keys than before.
func TestHeldRequestIsForgottenWithAllInstances(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		tracker := NewTracker(0)
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			request := rapid.IntRange(6, 12).Draw(t, "request")
			keys := []Key{Key(1 + request%2), Key(3 + request%3), Key(request)} // a request has its parts
			if rapid.IntRange(0, 3).Draw(t, "begins") == 0 {
				tracker.RecordBegun(now, keys)
				continue
			}
			tracker.RecordEnd(now, now, server(step), []Blamed{{Attempt: Attempt(step), Keys: keys}})
		}
		down := time.Duration(rapid.IntRange(1, 60).Draw(t, "down")) * time.Second
		later := now.Add(down)
		next := NewTracker(0)
		next.Merge(later, tracker.Lasting(now).Older(down))
		if want, got := verdictsOf(tracker, later), verdictsOf(next, later); !slices.Equal(want, got) {
			t.Fatalf("holds %v, held %v before", got, want)
		}
	})
}
