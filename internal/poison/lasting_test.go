package poison

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
)

// TestHeldRequestIsForgottenWithAllInstances guards against evidence that, read after all instances have
// ended, holds other keys than before.
func TestHeldRequestIsForgottenWithAllInstances(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now := start
		tracker := NewTracker(0)
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			keys := []Key{Key(rapid.IntRange(1, 2).Draw(t, "first")), Key(rapid.IntRange(3, 5).Draw(t, "second")), Key(rapid.IntRange(6, 12).Draw(t, "request"))}
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
