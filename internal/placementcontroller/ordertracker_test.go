package placementcontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

func testEngine() *deployment.Engine {
	return &deployment.Engine{
		Layers: 80, LayerSize: 1750, KVBytesPerToken: 590000, LoadTime: 14 * time.Second,
		Accelerators: map[string]deployment.Accelerator{"h100": {Memory: 72000, StepFactor: 1.4}},
	}
}

func member(id deployment.BackendID, first, end int) backend.ServerStatus {
	return backend.ServerStatus{Backend: deployment.Backend{
		ID: id, Accelerator: "h100", Layers: deployment.LayerRange{First: first, End: end},
	}}
}

// TestOrderTrackerWaitsForBackendList guards against a first plan that misses backend servers:
// they are listed one after the other while the deployment starts.
func TestOrderTrackerWaitsForBackendList(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newOrderTracker()
	members := []backend.ServerStatus{member("a", 0, 0), member("b", 0, 0)}
	assert.Equal(t, len(tracker.plan(now, testEngine(), members)), 0)
	members = append(members, member("c", 0, 0))
	assert.Equal(t, len(tracker.plan(now.Add(stableTime), testEngine(), members)), 0, "another server was listed")
	assert.Equal(t, len(tracker.plan(now.Add(2*stableTime), testEngine(), members)), 3)
}

// TestOrderTrackerOrdersOnce: an order that may be in flight is not sent again, and its layers
// count as held until it expires.
func TestOrderTrackerOrdersOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newOrderTracker()
	members := []backend.ServerStatus{member("a", 0, 27), member("b", 27, 54), member("c", 0, 0)}
	changes := tracker.plan(now, testEngine(), members)
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0].layers, deployment.LayerRange{First: 54, End: 80})
	tracker.recordOrder(now, testEngine(), changes[0])
	assert.Equal(t, len(tracker.plan(now.Add(time.Second), testEngine(), members)), 0)
	assert.Equal(t, len(tracker.plan(now.Add(time.Minute), testEngine(), members)), 1, "the order has expired")
}

// TestOrderTrackerWaitsForBusyServer: a backend server is applying an order of an earlier lease
// holder, whose target layers are not known, so that a plan would assign layers twice.
func TestOrderTrackerWaitsForBusyServer(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newOrderTracker()
	members := []backend.ServerStatus{member("a", 0, 27), member("b", 27, 54), member("c", 0, 0)}
	changes := tracker.plan(now, testEngine(), members)
	assert.Assert(t, !tracker.confirm(now, changes[0], deployment.Report{Busy: true}))
	assert.Equal(t, len(tracker.plan(now.Add(busyWait/2), testEngine(), members)), 0)
	assert.Equal(t, len(tracker.plan(now.Add(2*busyWait), testEngine(), members)), 1)
}

// TestOrderTrackerReplacesUnavailable: the layers of an unavailable backend server are assigned
// to its neighbours once it has been unavailable for replaceAfter, and not before.
func TestOrderTrackerReplacesUnavailable(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := newOrderTracker()
	members := []backend.ServerStatus{member("a", 0, 25), member("b", 25, 50), member("c", 50, 80)}
	members[1].UnavailableFor = replaceAfter / 2
	assert.Equal(t, len(tracker.plan(now, testEngine(), members)), 0)
	members[1].UnavailableFor = replaceAfter
	assert.Equal(t, len(tracker.plan(now, testEngine(), members)), 2)
}
