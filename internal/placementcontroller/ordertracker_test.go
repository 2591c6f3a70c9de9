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

// TestBookWaitsForTheList: backend servers appear one after the other while the
// deployment starts; the first plan has all of them.
func TestBookWaitsForTheList(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBook()
	members := []backend.ServerStatus{member("a", 0, 0), member("b", 0, 0)}
	assert.Equal(t, len(b.plan(now, testEngine(), members)), 0)
	members = append(members, member("c", 0, 0))
	assert.Equal(t, len(b.plan(now.Add(calmTime), testEngine(), members)), 0, "one more has come")
	assert.Equal(t, len(b.plan(now.Add(2*calmTime), testEngine(), members)), 3)
}

// TestBookOrdersOnce: an order that may be under way is not given again, and what
// it asks for counts as held.
func TestBookOrdersOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBook()
	members := []backend.ServerStatus{member("a", 0, 27), member("b", 27, 54), member("c", 0, 0)}
	changes := b.plan(now, testEngine(), members)
	assert.Equal(t, len(changes), 1)
	assert.DeepEqual(t, changes[0].layers, deployment.LayerRange{First: 54, End: 80})
	b.ordered(now, testEngine(), changes[0])
	assert.Equal(t, len(b.plan(now.Add(time.Second), testEngine(), members)), 0)
	assert.Equal(t, len(b.plan(now.Add(time.Minute), testEngine(), members)), 1, "the order was lost")
}

// TestBookLeavesBusyAlone: an order of an earlier holder is under way, whose target
// is not known.
func TestBookLeavesBusyAlone(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBook()
	members := []backend.ServerStatus{member("a", 0, 27), member("b", 27, 54), member("c", 0, 0)}
	changes := b.plan(now, testEngine(), members)
	assert.Assert(t, !b.confirm(now, changes[0], deployment.Report{Busy: true}))
	assert.Equal(t, len(b.plan(now.Add(busyTime/2), testEngine(), members)), 0)
	assert.Equal(t, len(b.plan(now.Add(2*busyTime), testEngine(), members)), 1)
}

// TestBookReplacesLost: a suspected backend server's layers go to its neighbours
// after a while, and not before.
func TestBookReplacesLost(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBook()
	members := []backend.ServerStatus{member("a", 0, 25), member("b", 25, 50), member("c", 50, 80)}
	members[1].UnavailableFor = lostAfter / 2
	assert.Equal(t, len(b.plan(now, testEngine(), members)), 0)
	members[1].UnavailableFor = lostAfter
	assert.Equal(t, len(b.plan(now, testEngine(), members)), 2)
}
