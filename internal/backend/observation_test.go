package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
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

// TestEndedStageIsInNoPath guards against a later stage of new paths that has ended, since peers
// which had contact shortly before its end tell that their links work.
func TestEndedStageIsInNoPath(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.MarkLinkSuspect(start, f.servers["i-1"].Address)
	f.RecordObservation(start, "p1", "i-1", LinkWorks)
	assert.Equal(t, len(f.Stages(start, service)), 1, "only the link is at fault")
	f.MarkEnded(start, deployment.Incarnation{Server: "i-1", StartedAt: 1})
	assert.Equal(t, len(f.Stages(start, service)), 1, "an earlier incarnation has ended")
	f.MarkEnded(start, f.servers["i-1"].Incarnation())
	assert.Equal(t, len(f.Stages(start, service)), 0)
}

// TestEndToldByOnePeerIsNotEnough guards against a peer that lies about ends.
func TestEndToldByOnePeerIsNotEnough(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	incarnation := f.servers["i-1"].Incarnation()
	f.RecordPeerEnd(start, "p1", incarnation)
	f.RecordPeerEnd(start, "p1", incarnation)
	assert.Equal(t, len(f.Stages(start, service)), 1)
	f.RecordPeerEnd(start, "p2", incarnation)
	assert.Equal(t, len(f.Stages(start, service)), 0)
}

// TestEndFoundOnFailingLinks guards against layers that are loaded elsewhere for a server that has
// not ended: while the links of an instance fail one after the other, a connection to one server
// is refused, and a later one to another server still succeeds.
func TestEndFoundOnFailingLinks(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.MarkEnded(start, f.servers["i-1"].Incarnation())
	assert.Equal(t, f.ServerStatuses(start.Add(time.Second), "svc", "a")[0].UnavailableFor, time.Second)
	f.ClearLinkSuspects("svc") // the instance was cut off meanwhile
	assert.Equal(t, f.ServerStatuses(start.Add(time.Second), "svc", "a")[0].UnavailableFor, time.Duration(0))
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 1)
}

// TestConnectionEndsAnEnd guards against a server that stays out of paths after a connection to
// it has succeeded, and against a suspicion of another cause that ends with it.
func TestConnectionEndsAnEnd(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	address := f.servers["i-1"].Address
	f.MarkEnded(start, f.servers["i-1"].Incarnation())
	f.RecordConnected(start.Add(time.Second), start.Add(-time.Millisecond), address)
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 0, "the connection was begun before the end")
	f.RecordConnected(start.Add(time.Second), start.Add(time.Millisecond), address)
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 1)
	f.MarkSuspect(start, address)
	f.MarkEnded(start, f.servers["i-1"].Incarnation())
	f.RecordConnected(start.Add(time.Second), start.Add(time.Millisecond), address)
	assert.Equal(t, len(f.Stages(start.Add(time.Second), service)), 0, "it does not respond")
}
