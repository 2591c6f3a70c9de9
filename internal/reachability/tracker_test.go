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

// TestStandstillIsNoLateness guards against an instance that takes itself for cut off since it got
// no processor time for some hundred milliseconds: the attempts that were pending say nothing.
func TestStandstillIsNoLateness(t *testing.T) {
	for _, still := range []time.Duration{maxPollGap + time.Millisecond, 400 * time.Millisecond, pauseGap - time.Millisecond} {
		tracker := NewTracker()
		tracker.SetServers(start, serversIn(3, 4))
		var pending []AttemptID
		for _, server := range serversIn(3, 4) {
			pending = append(pending, tracker.Begin(start, server.Address))
		}
		tracker.Verdict(start.Add(lateAfter / 2))
		now := start.Add(lateAfter/2 + still)
		assert.Equal(t, tracker.Verdict(now), Sound, "after %s", still)
		for _, id := range pending {
			tracker.Failed(now, id, Hung) // its time limit passed meanwhile
		}
		assert.Equal(t, tracker.Verdict(now), Sound, "after %s", still)
	}
}

// TestCutIsFoundWithLittleProcessorTime guards against an instance that never finds out that it is
// cut off, as it is always late to ask.
func TestCutIsFoundWithLittleProcessorTime(t *testing.T) {
	tracker := NewTracker()
	tracker.SetServers(start, serversIn(3, 4))
	for _, server := range serversIn(3, 4) {
		tracker.Begin(start, server.Address) // hangs
	}
	now := start
	for range 30 {
		now = now.Add(2 * maxPollGap)
		for _, address := range tracker.Probes(now) {
			tracker.Begin(now, address)
		}
	}
	assert.Equal(t, tracker.Verdict(now), CutOff)
}
