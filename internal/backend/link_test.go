package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// pathStages returns two stages that hold one half of the layers each.
func pathStages() *Fleet { return fleetOf(entry("i-1", 0, 40), entry("i-2", 40, 80)) }

func stageOf(t *testing.T, f *Fleet, now time.Time, id deployment.BackendID) pipeline.Stage {
	t.Helper()
	for _, stage := range f.Stages(now, service) {
		if stage.ID == id {
			return stage
		}
	}
	t.Fatalf("%s is no stage", id)
	return pipeline.Stage{}
}

// TestFailedLinksOfPeersDontCountAgainstOwnContact guards against three instances without
// links, which are two others to each sound one.
func TestFailedLinksOfPeersDontCountAgainstOwnContact(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.RecordContact(start, "i-1")
	now := start.Add(contactAge - time.Millisecond)
	for _, from := range []deployment.InstanceID{"p1", "p2", "p3"} {
		reply, replies := f.RecordObservation(now, from, "i-1", LinkFailed)
		assert.Assert(t, replies)
		assert.Equal(t, reply, LinkWorks)
	}
	assert.Equal(t, len(f.Suspects()), 0)
	assert.Equal(t, len(f.Stages(now, service)), 1)
}

// TestFailedLinkNeedsTwoPeers guards against a server without contact that one instance's
// links decide on, and against one that gets requests though none reaches it.
func TestFailedLinkNeedsTwoPeers(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.RecordContact(start, "i-1")
	now := start.Add(contactAge)
	for range 5 {
		_, replies := f.RecordObservation(now, "p1", "i-1", LinkFailed)
		assert.Assert(t, !replies)
	}
	now = now.Add(2 * suspicionAge)
	f.RecordObservation(now, "p2", "i-1", LinkFailed)
	assert.Equal(t, len(f.Suspects()), 0, "the first one's failure is too old")
	f.RecordObservation(now, "p1", "i-1", LinkFailed)
	assert.Equal(t, len(f.Suspects()), 1)
	assert.Equal(t, len(f.Stages(now, service)), 0)
}

// TestContactEndsWhatPeersToldOfLinks guards against a sound server that stays out of paths
// after an instance has reached it that had only heard of failed links.
func TestContactEndsWhatPeersToldOfLinks(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.RecordObservation(start, "p1", "i-1", LinkFailed)
	f.RecordContact(start, "i-1")
	now := start.Add(contactAge)
	f.RecordObservation(now, "p2", "i-1", LinkFailed)
	assert.Equal(t, len(f.Suspects()), 0, "the first one failed before the contact")
	f.RecordObservation(now, "p3", "i-1", LinkFailed)
	assert.Equal(t, len(f.Suspects()), 1)
	f.RecordContact(now, "i-1")
	assert.Equal(t, len(f.Suspects()), 0)
	assert.Equal(t, len(f.Stages(now, service)), 1)
}

// TestContactDoesNotEndOwnSuspicion guards against an answer on an old connection that hides
// that new ones fail.
func TestContactDoesNotEndOwnSuspicion(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	f.MarkLinkSuspect(start, "i-1:80")
	f.RecordObservation(start, "p1", "i-1", LinkFailed)
	f.RecordObservation(start, "p2", "i-1", LinkFailed)
	f.RecordContact(start, "i-1")
	assert.Equal(t, len(f.Suspects()), 1)
}

// TestOwnLinkKeepsTheServerInPaths guards against an instance with a failed link that takes
// the server out of all its paths, and out of the placement plan of the zone.
func TestOwnLinkKeepsTheServerInPaths(t *testing.T) {
	f := pathStages()
	now := start.Add(time.Second)
	for _, address := range []deployment.Address{"i-1:80", "i-2:80"} {
		_, fresh := f.MarkLinkSuspect(start, address)
		assert.Assert(t, fresh)
	}
	assert.Equal(t, len(f.Stages(now, service)), 0, "nobody reaches them, as far as it is known")
	assert.Equal(t, f.ServerStatuses(now, "svc", "a")[0].UnavailableFor, time.Second)
	assert.Equal(t, len(f.SuspectsOn(now, pathOf("i-1", "i-2"))), 2)

	f.RecordObservation(now, "p1", "i-1", LinkWorks)
	f.RecordObservation(now, "p1", "i-2", LinkWorks)
	assert.Assert(t, stageOf(t, f, now, "i-1").Unreachable)
	_, ok := pipeline.Find(service.Engine, f.Stages(now, service), "a")
	assert.Assert(t, !ok, "a path must not start at a server that is not reached")
	for _, status := range f.ServerStatuses(now, "svc", "a") {
		assert.Equal(t, status.UnavailableFor, time.Duration(0))
	}
	assert.DeepEqual(t, f.SuspectsOn(now, pathOf("i-1", "i-2")), []deployment.Address{"i-1:80"})
	assert.Equal(t, len(f.Suspects()), 2, "they are still probed")

	now = now.Add(suspectTimeout)
	assert.Assert(t, f.ClearSuspect(now, "i-1"))
	path, ok := pipeline.Find(service.Engine, f.Stages(now, service), "a")
	assert.Assert(t, ok)
	assert.DeepEqual(t, path.IDs, []deployment.BackendID{"i-1", "i-2"})
}

// TestOwnLinkExpires guards against a server that has ended since another instance reached
// it, and then stays in paths and in the plan.
func TestOwnLinkExpires(t *testing.T) {
	f := pathStages()
	f.MarkLinkSuspect(start, "i-2:80")
	f.RecordObservation(start.Add(time.Second), "p1", "i-2", LinkWorks)
	expired := start.Add(time.Second + ownLinkTimeout)
	assert.Equal(t, len(f.Stages(expired.Add(-time.Millisecond), service)), 2)
	assert.Equal(t, len(f.Stages(expired, service)), 1)
	for _, status := range f.ServerStatuses(expired.Add(time.Second), "svc", "a") {
		if status.ID == "i-2" {
			assert.Equal(t, status.UnavailableFor, time.Second)
		}
	}
}

// TestStalledStageIsSuspectedWhateverLinksWork guards against a server that doesn't respond
// to other stages and stays in paths, as an instance reaches it.
func TestStalledStageIsSuspectedWhateverLinksWork(t *testing.T) {
	for _, stalledFirst := range []bool{false, true} {
		f := pathStages()
		if stalledFirst {
			f.MarkSuspect(start, "i-2:80")
		}
		f.MarkLinkSuspect(start, "i-2:80")
		f.RecordObservation(start, "p1", "i-2", LinkWorks)
		if !stalledFirst {
			f.MarkSuspect(start, "i-2:80")
		}
		now := start.Add(time.Second)
		assert.Equal(t, len(f.Stages(now, service)), 1)
		assert.DeepEqual(t, f.SuspectsOn(now, pathOf("i-1", "i-2")), []deployment.Address{"i-2:80"})
		assert.Equal(t, len(f.Suspects()), 1)
		for _, status := range f.ServerStatuses(now, "svc", "a") {
			assert.Assert(t, status.ID == "i-1" || status.UnavailableFor == time.Second)
		}
	}
}

// TestPlainServiceAvoidsFailedLink guards against requests to a plain server that this
// instance doesn't reach, as another one does.
func TestPlainServiceAvoidsFailedLink(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 0), entry("i-2", 0, 0))
	f.MarkLinkSuspect(start, "i-1:80")
	f.RecordObservation(start, "p1", "i-1", LinkWorks)
	for range 3 {
		request, ok := f.Pick(start, &deployment.Service{Name: "svc"}, "a", nil)
		assert.Assert(t, ok)
		assert.Equal(t, request.Backend.ID, deployment.BackendID("i-2"))
	}
}

// TestUnknownObservationIsIgnored guards against instances of a later version that tell what
// this one can't read.
func TestUnknownObservationIsIgnored(t *testing.T) {
	f := fleetOf(entry("i-1", 0, 80))
	for _, what := range []Observation{-1, LinkWorks + 1, 1 << 30} {
		for _, from := range []deployment.InstanceID{"p1", "p2", "p3"} {
			_, replies := f.RecordObservation(start, from, "i-1", what)
			assert.Assert(t, !replies)
		}
	}
	assert.Equal(t, len(f.Suspects()), 0)
	assert.Equal(t, len(f.Stages(start, service)), 1)
}
