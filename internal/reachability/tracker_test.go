package reachability

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// TestAbandonedAttemptsSayNothing guards against clients that leave, taken for a cut.
func TestAbandonedAttemptsSayNothing(t *testing.T) {
	tracker := NewTracker()
	tracker.SetServers(start, serversIn(3, 4))
	now := start
	for i := range 100 {
		id := tracker.Begin(now, serversIn(3, 4)[i%12].Address)
		now = now.Add(lateAfter - simulatedTick)
		tracker.Failed(now, id, Abandoned)
		assert.Equal(t, tracker.Verdict(now), Sound)
		assert.Equal(t, len(tracker.Probes(now)), 0)
	}
}

// poll asks the tracker as often as it wants until a time.
func poll(tracker *Tracker, now, until time.Time) {
	for ; now.Before(until); now = now.Add(pollInterval) {
		tracker.Verdict(now)
	}
}

// TestConnectionAtTheLastMomentCounts guards against a cut that is decided while the proof
// of the opposite is being told.
func TestConnectionAtTheLastMomentCounts(t *testing.T) {
	tracker := NewTracker()
	tracker.SetServers(start, serversIn(1, 3))
	refused := tracker.Begin(start, "a1")
	tracker.Failed(start, refused, Refused)
	tracker.Failed(start, tracker.Begin(start, "a2"), Refused)
	third := tracker.Begin(start, "a3")
	end := start.Add(ProbeTimeout)
	poll(tracker, start, end)
	assert.Equal(t, tracker.Verdict(end.Add(-time.Millisecond)), Doubtful)
	tracker.Connected(end, third)
	assert.Equal(t, tracker.Verdict(end), Sound)
}

// cutOff returns a tracker that is cut off from three servers.
func cutOff() *Tracker {
	tracker := NewTracker()
	tracker.SetServers(start, serversIn(1, 3))
	for _, address := range []deployment.Address{"a1", "a2", "a3"} {
		tracker.Failed(start, tracker.Begin(start, address), Refused)
	}
	return tracker
}

// TestProofThatNobodyBegins guards against a verdict that stays CutOff as the probes of the
// proof were lost.
func TestProofThatNobodyBegins(t *testing.T) {
	tracker := cutOff()
	assert.Equal(t, tracker.Verdict(start), CutOff)
	now := start.Add(cutOffInterval)
	assert.Equal(t, len(tracker.Probes(now)), 1)
	tracker.Connected(now, tracker.Begin(now, "a1"))
	assert.Equal(t, len(tracker.Probes(now)), 2)
	assert.Equal(t, len(tracker.Probes(now)), 0)
	next, ok := tracker.Next(now)
	assert.Assert(t, ok)
	assert.Equal(t, next, now.Add(proofTimeout))
	assert.Equal(t, len(tracker.Probes(next)), 1)
}

// TestProofsAreCounted guards against a proof for each connection while most servers fail.
func TestProofsAreCounted(t *testing.T) {
	tracker := cutOff()
	probes := 0
	for now := start; now.Before(start.Add(2 * cutOffInterval)); now = now.Add(simulatedTick) {
		tracker.Connected(now, tracker.Begin(now, "a1"))
		for _, address := range tracker.Probes(now) {
			probes++
			tracker.Failed(now, tracker.Begin(now, address), Refused)
		}
	}
	assert.Assert(t, probes <= 2+2*proofServers, "%d probes", probes)
	assert.Equal(t, tracker.Verdict(start.Add(2*cutOffInterval)), CutOff)
}
