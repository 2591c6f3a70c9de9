package router

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/platform"
)

// instancesTopic lists the instances with their addresses for peers.
var instancesTopic = platform.KeyedTopic("instances")

const (
	// registerEvery is the pause between entries of an instance, and listEvery
	// between readings of the list. Peers tell one another of newer ones.
	registerEvery = 15 * time.Second
	listEvery     = 8 * time.Second
	firstLists    = time.Second // while the instances of a deployment start
	startPhase    = 3 * time.Second
	// staleAfter is when an entry names an instance that is gone. It is far above
	// the difference between two instances' times of day.
	staleAfter = 60 * time.Second
	// overdueAfter is how long after its due time an answer of the store is
	// waited for before peers are asked, and askEvery the pause between that.
	overdueAfter = 400 * time.Millisecond
	askEvery     = 250 * time.Millisecond
	// loadEvery is the pause between tellings of this instance's load, and mostQuiet
	// how many are left out where it has not changed.
	loadEvery = 200 * time.Millisecond
	mostQuiet = 5
)

// wireInstance is an entry of instancesTopic.
type wireInstance struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Millis  int64  `cbor:"3,keyasint"` // time of day at which it was written
}

// newMesh returns the links to the other instances.
func (r *Router) newMesh() *peer.Mesh {
	return peer.NewMesh(peer.Config{
		Self: peer.Hello{
			Instance: instancelist.ID(r.settings.Instance), Incarnation: uuid.New(),
			Zone: instancelist.Zone(r.settings.Zone),
		},
		Receiver: r, Logger: r.logger, Seeds: otherSeeds(r.settings),
	})
}

// otherSeeds are the addresses of the settings by which peers are found while the
// list for peers can't be read.
func otherSeeds(settings deployment.Settings) []string {
	var seeds []string
	for _, seed := range settings.Seeds {
		if seed != settings.PeerAddress {
			seeds = append(seeds, string(seed))
		}
	}
	return seeds
}

// servePeers accepts links.
func (r *Router) servePeers(ctx context.Context) error {
	handler := http.NewServeMux()
	handler.Handle(peer.LinkPath, r.mesh.Handler())
	return r.serveSide(ctx, string(r.settings.PeerAddress), handler)
}

// keepRegistered writes this instance into the list for peers.
func (r *Router) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		pause := registerEvery
		if err := r.register(ctx, time.Now()); err != nil {
			r.logger.Info("instance not registered", zap.Error(err))
			pause = firstLists
		}
		sleep(ctx, pause)
	}
}

func (r *Router) register(ctx context.Context, now time.Time) error {
	value, err := cbor.Marshal(wireInstance{Address: string(r.settings.PeerAddress), Zone: string(r.settings.Zone), Millis: now.UnixMilli()})
	if err != nil {
		return err
	}
	record := platform.EncodeKeyedRecord(string(r.settings.Instance), value)
	_, err = r.store.Append(ctx, instancesTopic, 0, platform.AnyOffset, record)
	return err
}

// followInstances reads the list for peers.
func (r *Router) followInstances(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		batch, err := r.store.LatestByKey(ctx, instancesTopic)
		now := time.Now()
		if err == nil {
			list := r.decodeInstances(now, batch.Records)
			r.mesh.SetInstances(now, list)
			r.fleet.SetInstanceCount(1 + len(list))
			r.gateway.SetInstanceCount(1 + len(list))
		} else {
			r.logger.Debug("instances not read", zap.Error(err))
		}
		pause := listEvery
		if now.Sub(started) < startPhase {
			pause = firstLists
		}
		sleep(ctx, pause)
	}
}

func (r *Router) decodeInstances(now time.Time, records []platform.Record) []instancelist.Instance {
	var list []instancelist.Instance
	for _, record := range records {
		var wire wireInstance
		if err := cbor.Unmarshal(record.Value, &wire); err != nil {
			r.logger.Info("instance not usable", zap.String("key", record.Key), zap.Error(err))
			continue
		}
		age := now.Sub(time.UnixMilli(wire.Millis))
		if record.Key == string(r.settings.Instance) || age > staleAfter {
			continue
		}
		list = append(list, instancelist.Instance{
			ID: instancelist.ID(record.Key), Kind: instancelist.KindEntry,
			Zone: instancelist.Zone(wire.Zone), Address: wire.Address,
		})
	}
	return list
}

// tellLoads tells the peers how many requests this instance has under way in each
// zone, while that changes.
func (r *Router) tellLoads(ctx context.Context) {
	var last map[deployment.Zone]int
	quiet := 0
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		loads := r.fleet.SnapshotLoads()
		if quiet++; maps.Equal(loads, last) && quiet < mostQuiet {
			continue
		}
		last, quiet = loads, 0
		r.mesh.Broadcast(peer.ZoneLoads{Loads: loads})
	}
}

// askPeers asks for what a tail can't read from the store, as long as it can't.
func (r *Router) askPeers(ctx context.Context, t *tail) {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	allowed := max(t.wait, backendsEvery) + overdueAfter
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if t.overdue(now, allowed) {
				_, next := t.position()
				r.mesh.Broadcast(peer.TopicRecordsRequest{Topic: t.topic, From: next})
			}
		}
	}
}

// HandleLink implements peer.Receiver.
func (r *Router) HandleLink(from peer.Hello) {
	if fencing := r.orderer.FencingToken(); fencing > 0 {
		r.mesh.Send(from.Instance, r.duty(fencing))
	}
}

func (r *Router) duty(fencing int64) peer.LeaseHolder {
	return peer.LeaseHolder{Zone: instancelist.Zone(r.settings.Zone), FencingToken: fencing}
}

// announceDuty tells the zone's instances who gives its orders.
func (r *Router) announceDuty(fencing int64) { r.mesh.BroadcastZone(r.duty(fencing)) }

// announceLayers tells the peers what a backend server holds now.
func (r *Router) announceLayers(id deployment.BackendID, layers deployment.LayerRange) {
	r.mesh.Broadcast(peer.LayersHeld{Backend: id, Layers: layers})
}

// announceOrder tells the peers what a backend server is ordered to hold, or that it
// has refused the order.
func (r *Router) announceOrder(id deployment.BackendID, layers deployment.LayerRange, stands bool) {
	r.mesh.Broadcast(peer.LayersOrdered{Backend: id, Layers: layers, Refused: !stands})
}

// announcePace tells the peers how slow a backend server is.
func (r *Router) announcePace(id deployment.BackendID, pace float64) {
	r.mesh.Broadcast(peer.Slowdown{Backend: id, Factor: pace})
}

// present returns the instances of this zone that can be reached.
func (r *Router) present() []deployment.InstanceID {
	var list []deployment.InstanceID
	for _, id := range r.mesh.ActiveInZone() {
		list = append(list, deployment.InstanceID(id))
	}
	return list
}

// HandleMessage implements peer.Receiver.
func (r *Router) HandleMessage(from peer.Hello, message peer.Message) {
	switch message := message.(type) {
	case peer.TopicRecordsRequest:
		t := r.tailOf(message.Topic)
		if t == nil {
			return
		}
		if part, ok := t.cache.Since(message.From); ok {
			r.mesh.Send(from.Instance, peer.TopicRecords{Topic: message.Topic, Update: part})
		}
	case peer.TopicRecords:
		r.takeTopic(from, message)
	case peer.LeaseHolder:
		if message.Zone == instancelist.Zone(r.settings.Zone) {
			r.orderer.ObserveLeaseHolder(deployment.InstanceID(from.Instance), message.FencingToken)
		}
	case peer.LayersHeld:
		r.fleet.SetLayers(message.Backend, message.Layers)
	case peer.LayersOrdered:
		if message.Refused {
			r.fleet.ClearTargetLayers(message.Backend, message.Layers)
			return
		}
		r.fleet.SetTargetLayers(time.Now(), message.Backend, message.Layers)
	case peer.ZoneLoads:
		r.fleet.SetPeerLoads(time.Now(), deployment.InstanceID(from.Instance), message.Loads)
	case peer.Slowdown:
		r.gateway.SetSlowdown(time.Now(), message.Backend, message.Factor)
	case peer.CrashNotice:
		r.gateway.HandleCrashNotice(time.Now(), message.Fingerprint, deployment.BackendID(message.Runner))
	}
}

// HandleForward implements peer.Receiver. No calls are forwarded between these instances.
func (r *Router) HandleForward(peer.ForwardRequest) peer.ForwardResponse {
	return peer.ForwardResponse{Status: http.StatusNotFound}
}

func (r *Router) tailOf(topic string) *tail {
	switch topic {
	case platform.ConfigurationTopic:
		return r.configurations
	case platform.BackendsTopic:
		return r.list
	}
	return nil
}

// noteCrash tells the peers of a request that a backend server broke off.
func (r *Router) noteCrash(request engine.Fingerprint, at deployment.BackendID) {
	r.mesh.Broadcast(peer.CrashNotice{Fingerprint: request, Runner: string(at)})
}
