package router

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/topiccache"
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
	go r.keepPoisonRecord(ctx)
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

// TestRecordReplacesWhatItsWriterHasNotRead guards against an instance that takes itself for the first of its zone
// and replaces what others have written, so that nobody learns of it any more.
func TestRecordReplacesWhatItsWriterHasNotRead(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var routers []*Router
	for i, id := range []deployment.InstanceID{"a", "b"} {
		r := newRouter(deployment.Settings{Instance: id, Zone: "zone-a", StoreAddress: store.Address(), PeerAddress: "127.0.0.1:1"}, Options{Output: io.Discard})
		r.readPoisonRecords(ctx)
		now := time.Now()
		r.gateway.MergePoisonEvidence(now, "peer", poison.Evidence{Ends: []poison.End{{
			Incarnation: deployment.Incarnation{Server: deployment.BackendID(id)}, Blamed: []poison.Blamed{{Attempt: poison.Attempt(i), Keys: []poison.Key{7}}},
		}}})
		routers = append(routers, r)
	}
	for _, r := range routers { // the second one has not read what the first one writes
		assert.NilError(t, r.writePoisonRecord(ctx, true))
	}
	starting := newRouter(deployment.Settings{Instance: "c", Zone: "zone-a", StoreAddress: store.Address(), PeerAddress: "127.0.0.1:1"}, Options{Output: io.Discard})
	starting.readPoisonRecords(ctx)
	evidence, _ := starting.gateway.PoisonEvidence(time.Now())
	assert.Equal(t, len(evidence.Ends), len(routers))
}

// TestRecordIsReplacedWhileItIsRead guards against a record that is replaced by an instance that has decided what to
// write before it merged it, as its reader did so meanwhile.
func TestRecordIsReplacedWhileItIsRead(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	newInstance := func(id deployment.InstanceID) *Router {
		r := newRouter(deployment.Settings{Instance: id, Zone: "zone-a", StoreAddress: store.Address(), PeerAddress: "127.0.0.1:1"}, Options{Output: io.Discard})
		r.readPoisonRecords(ctx)
		return r
	}
	routers := []*Router{newInstance("a"), newInstance("b"), newInstance("c")}
	for _, r := range routers {
		go func() {
			for c := r.poisonRecords.consumer; ctx.Err() == nil; {
				next, _ := c.position()
				_ = c.do(ctx, topiccache.ReadChanges{From: next}, 0)
			}
		}()
	}
	const rounds = 40
	for round := range rounds {
		var writes sync.WaitGroup
		for i, r := range routers {
			writes.Go(func() {
				r.gateway.MergePoisonEvidence(time.Now(), "peer", poison.Evidence{Ends: []poison.End{{
					Incarnation: deployment.Incarnation{Server: "server", StartedAt: int64(round*len(routers) + i)},
					Blamed:      []poison.Blamed{{Attempt: poison.Attempt(round*len(routers) + i), Keys: []poison.Key{7}}},
				}}})
				assert.Check(t, r.writePoisonRecord(ctx, true))
			})
		}
		writes.Wait()
		starting := newInstance("starting")
		evidence, _ := starting.gateway.PoisonEvidence(time.Now())
		assert.Equal(t, len(evidence.Ends), (round+1)*len(routers), "after %d rounds", round+1)
	}
}
