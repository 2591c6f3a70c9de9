package router

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// TestPoisonRecordIsReadOnceOnly guards against instances that never learn which request ends backend servers, as
// the store did not answer when all of them were started again.
func TestPoisonRecordIsReadOnceOnly(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	now := time.Now()
	value, err := encodePoisonRecord(now, poison.Evidence{Trials: []poison.KeyAge{{Key: 7}}})
	assert.NilError(t, err)
	store.Put(poisonTopic, "zone-a", value)
	store.SetFault(platformtest.StoreUnavailable)
	r := newRouter(deployment.Settings{Instance: "a", Zone: "zone-a", StoreAddress: store.Address(), PeerAddress: "127.0.0.1:1"}, Options{Output: io.Discard})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.applyConfigurations(ctx)
	go r.keepPoisonEvidence(ctx)
	time.Sleep(poisonWriteInterval) // the first read has failed
	r.gateway.MergePoisonEvidence(now, "peer", poison.Evidence{Trials: []poison.KeyAge{{Key: 8}}})
	store.SetFault(platformtest.StoreHealthy)
	for start := time.Now(); time.Since(start) < waitTimeout; time.Sleep(poisonWriteInterval) {
		if evidence, _ := r.gateway.PoisonEvidence(time.Now()); len(evidence.Trials) == 2 {
			return
		}
	}
	t.Fatal("the record was not read")
}
