package placementcontroller

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// TestCutOffInstanceHandsTheLeaseOver guards against a zone that is ordered by an instance which
// does not reach its servers.
func TestCutOffInstanceHandsTheLeaseOver(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	cutOff := false
	newController := func(id deployment.InstanceID, isCutOff func() bool) *Controller {
		return New(Config{
			Settings:           deployment.Settings{Instance: id, Zone: "zone-a"},
			Store:              platform.NewStoreClient(store.Address(), func(string, time.Duration, error) {}),
			Logger:             zap.NewNop(),
			ReachableInstances: func() []deployment.InstanceID { return []deployment.InstanceID{"a", "b"} },
			CutOff:             isCutOff, OnFencingToken: func(int64) {},
		})
	}
	a := newController("a", func() bool { return cutOff })
	b := newController("b", func() bool { return false })
	ctx := context.Background()
	a.maintain(ctx)
	a.acquireToken(ctx)
	b.maintain(ctx)
	assert.Assert(t, a.FencingToken() > 0)
	assert.Assert(t, b.lease.heldSince.IsZero())
	cutOff = true
	a.maintain(ctx)
	b.maintain(ctx)
	assert.Equal(t, a.FencingToken(), int64(0))
	assert.Assert(t, !b.lease.heldSince.IsZero())
	a.maintain(ctx) // does not join again
	b.maintain(ctx)
	assert.Assert(t, !b.lease.heldSince.IsZero())
}
