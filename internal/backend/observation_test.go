package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRejectionsOfPeersCount guards against stages that reject everything and get requests
// of each instance in turn until that one has learned it by itself.
func TestRejectionsOfPeersCount(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	now := start
	for range rejectingThreshold {
		f.RecordObservation(now, "p1", "i-1", StageRejected)
		f.RecordObservation(now, "p2", "i-1", StageRejected)
		assert.Equal(t, len(f.Stages(now, service)), 0)
		now = now.Add(fullBackoff)
	}
	assert.Assert(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor > 0)
	assert.Equal(t, len(f.Stages(now, service)), 0)
	f.RecordObservation(now, "p1", "i-1", StageAccepted)
	assert.Equal(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor, time.Duration(0))
}

// TestRejectionsOfOneMomentCountOnce guards against a stage that is taken for lost because
// many instances were rejected while it was full for a moment.
func TestRejectionsOfOneMomentCountOnce(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	for range 10 * rejectingThreshold {
		f.RecordObservation(start, "peer", "i-1", StageRejected)
	}
	assert.Equal(t, f.ServerStatuses(start.Add(time.Second), "svc", "a")[0].UnavailableFor, time.Duration(0))
}

// TestSuspicionNeedsTwoPeers guards against an instance without a network that makes its
// whole zone suspect all stages.
func TestSuspicionNeedsTwoPeers(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	for range 5 {
		f.RecordObservation(start, "p1", "i-1", StageSuspected)
	}
	f.RecordObservation(start.Add(2*suspicionAge), "p2", "i-1", StageSuspected)
	assert.Equal(t, len(f.Suspects()), 0, "the first one's suspicion is too old")
	f.RecordObservation(start.Add(2*suspicionAge), "p1", "i-1", StageSuspected)
	assert.Equal(t, len(f.Suspects()), 1)
}
