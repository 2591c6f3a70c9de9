package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/platform"
)

// instancesTopic lists the instances with their peer addresses.
var instancesTopic = platform.KeyedTopic("instances")

const (
	// registerInterval is the interval at which an instance writes its entry. Two writes may
	// fail before the entry reaches maxEntryAge.
	registerInterval = 20 * time.Second
	// instanceListInterval is the interval between reads of the topic while there are links to
	// instances that the last read did not name, and maxInstanceListInterval that without.
	// Peers learn of new instances from one another between reads; the keys with which they
	// relay requests to them, and the number of instances, come from the topic.
	instanceListInterval    = 8 * time.Second
	maxInstanceListInterval = 16 * time.Second
	// startupInterval replaces instanceListInterval during startupPhase, while the
	// instances of a deployment start. It is also the retry delay of a registration.
	startupInterval = time.Second
	startupPhase    = 3 * time.Second
	// maxEntryAge is the age from which an entry is taken for that of an instance that
	// has ended. It is far above the clock skew between instances.
	maxEntryAge = 60 * time.Second
	// loadInterval is the interval at which this instance broadcasts its load. An
	// unchanged load is broadcast in every unchangedLoadTicks-th interval only.
	loadInterval       = 400 * time.Millisecond
	unchangedLoadTicks = 3
	// earlyLoadInterval is the minimum interval between reports that are sent early because
	// much has changed.
	earlyLoadInterval = 50 * time.Millisecond
	// minRelayInterval is the minimum interval at which the load of another zone is relayed, as
	// more than one instance may receive it, and minEarlyRelayInterval that for early reports. The
	// latter is below earlyLoadInterval, as messages don't arrive evenly.
	minRelayInterval      = loadInterval * 3 / 4
	minEarlyRelayInterval = earlyLoadInterval / 2
)

// newMesh returns the mesh of links to the other instances.
func (r *Router) newMesh() *peer.Mesh {
	return peer.NewMesh(peer.Config{
		Self: peer.Hello{
			Instance: instancelist.ID(r.settings.Instance), Incarnation: uuid.New(),
			Zone: instancelist.Zone(r.settings.Zone),
		},
		Receiver: r, Logger: r.logger, Seeds: otherSeeds(r.settings), WrapConnection: r.options.WrapPeerConnection,
		OnSent: r.metrics.peerSent,
	})
}

// otherSeeds returns the seed addresses of the settings without this instance's own.
// The mesh dials them while it has no link.
func otherSeeds(settings deployment.Settings) []string {
	var seeds []string
	for _, seed := range settings.Seeds {
		if seed != settings.PeerAddress {
			seeds = append(seeds, string(seed))
		}
	}
	return seeds
}

// peerHandler serves links and relayed requests of peers.
func (r *Router) peerHandler() http.Handler {
	handler := http.NewServeMux()
	handler.Handle(peer.LinkPath, r.mesh.Handler())
	handler.Handle(relay.Path, r.relayHandler)
	return handler
}

// peerListener wraps the connections that it accepts. wrap may be nil.
type peerListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil || l.wrap == nil {
		return conn, err
	}
	return l.wrap(conn), nil
}

// keepRegistered writes this instance's entry into instancesTopic at intervals, until
// ctx ends.
func (r *Router) keepRegistered(ctx context.Context) {
	for ctx.Err() == nil {
		delay := registerInterval
		if err := r.register(ctx, time.Now()); err != nil {
			r.logger.Info("instance registration failed", zap.Error(err))
			delay = startupInterval
		}
		sleep(ctx, delay)
	}
}

func (r *Router) register(ctx context.Context, now time.Time) error {
	value, err := encodeInstance(r.settings, r.relayKey, now)
	if err != nil {
		return err
	}
	record := platform.EncodeKeyedRecord(string(r.settings.Instance), value)
	_, err = r.store.Append(ctx, instancesTopic, 0, platform.AnyOffset, record)
	return err
}

// followInstances reads instancesTopic at intervals, until ctx ends.
func (r *Router) followInstances(ctx context.Context) {
	started := time.Now()
	var known knownInstances
	var readAt time.Time
	for ctx.Err() == nil {
		if now := time.Now(); now.Sub(readAt) < maxInstanceListInterval && known.cover(r.mesh.Connected()) {
			sleep(ctx, instanceListInterval)
			continue
		}
		batch, err := r.store.LatestByKey(ctx, instancesTopic)
		now := time.Now()
		if err == nil {
			readAt = now
			entries := r.decodeInstances(now, batch.Records)
			list := instancesOf(entries)
			known = newKnownInstances(list, r.mesh.Connected())
			r.relayPeers.SetPeers(relayPeersOf(entries))
			r.mesh.SetInstances(now, list)
			r.fleet.SetInstanceCounts(1+len(list), 1+r.countInZone(list))
			r.gateway.SetInstanceCounts(1+len(list), 1+r.countInZone(list))
		} else {
			r.logger.Debug("read of instances topic failed", zap.Error(err))
		}
		delay := instanceListInterval
		if now.Sub(started) < startupPhase {
			delay = startupInterval
		}
		sleep(ctx, delay)
	}
}

// knownInstances are the instances that the topic of instances named when it was last read, with
// the incarnation of those that were linked then.
type knownInstances map[instancelist.ID]peer.Incarnation

func newKnownInstances(list []instancelist.Instance, linked []peer.Hello) knownInstances {
	known := knownInstances{}
	for _, instance := range list {
		known[instance.ID] = peer.Incarnation{}
	}
	for _, hello := range linked {
		if _, ok := known[hello.Instance]; ok {
			known[hello.Instance] = hello.Incarnation
		}
	}
	return known
}

// cover reports whether all linked instances are known, none of them as an earlier incarnation,
// whose entry has another relay key.
func (k knownInstances) cover(linked []peer.Hello) bool {
	for _, hello := range linked {
		incarnation, ok := k[hello.Instance]
		if !ok || incarnation != (peer.Incarnation{}) && incarnation != hello.Incarnation {
			return false
		}
	}
	return true
}

// countInZone returns how many instances of a list are in this zone.
func (r *Router) countInZone(list []instancelist.Instance) int {
	count := 0
	for _, instance := range list {
		if instance.Zone == instancelist.Zone(r.settings.Zone) {
			count++
		}
	}
	return count
}

// logLimitsTold logs the backend servers whose limits have changed by what a peer told.
func (r *Router) logLimitsTold(from peer.Hello, changed []deployment.BackendID) {
	for _, id := range changed {
		r.logger.Info("server limit told", zap.String("backend", string(id)), zap.String("told-by", string(from.Instance)))
	}
}

// HandleLink implements peer.Receiver. It sends the new peer what is known of ends of backend
// servers and which of them leave, whether this instance reaches them, up to which offsets it has the topics and, if it
// holds the lease of its zone, the fencing token.
func (r *Router) HandleLink(from peer.Hello) {
	if evidence, _ := r.gateway.PoisonEvidence(time.Now()); !evidence.Empty() {
		r.mesh.Send(from.Instance, peer.PoisonEvidence{Evidence: evidence})
	}
	if leaving := r.fleet.Departures(); len(leaving) > 0 {
		r.mesh.Send(from.Instance, peer.ServersLeaving{Servers: leaving})
	}
	if r.outOfReach(time.Now()) {
		r.mesh.Send(from.Instance, peer.LinksState{CutOff: true})
	}
	if token := r.controller.FencingToken(); token > 0 {
		r.mesh.Send(from.Instance, r.leaseHolder(token))
	}
	for _, c := range []*consumer{r.configurations, r.backendList} {
		if next, complete := c.position(); complete {
			r.mesh.Send(from.Instance, announcement(c.topic, next))
		}
	}
}

func (r *Router) leaseHolder(token int64) peer.LeaseHolder {
	return peer.LeaseHolder{Zone: instancelist.Zone(r.settings.Zone), FencingToken: token}
}

// broadcastLease sends the zone's instances the fencing token with which this instance
// holds the lease.
func (r *Router) broadcastLease(token int64) { r.mesh.BroadcastZone(r.leaseHolder(token)) }

// broadcastLayersHeld broadcasts the layers that a backend server has reported to hold.
func (r *Router) broadcastLayersHeld(id deployment.BackendID, layers deployment.LayerRange) {
	r.mesh.Broadcast(peer.LayersHeld{Backend: id, Layers: layers})
}

// broadcastOrder broadcasts an order that is about to be sent to a backend server, or,
// with active unset, its withdrawal because the backend server has rejected it.
func (r *Router) broadcastOrder(id deployment.BackendID, layers deployment.LayerRange, active bool) {
	r.mesh.Broadcast(peer.LayersOrdered{Backend: id, Layers: layers, Refused: !active})
}

// broadcastSlowdown broadcasts the slowdown factor that a backend server has reported.
func (r *Router) broadcastSlowdown(id deployment.BackendID, factor float64) {
	r.mesh.Broadcast(peer.Slowdown{Backend: id, Factor: factor})
}

// broadcastObservation tells the zone what this instance has observed of a backend server.
func (r *Router) broadcastObservation(id deployment.BackendID, what backend.Observation) {
	r.mesh.BroadcastZone(peer.StageObserved{Backend: id, What: what})
}

// activeInZone returns the reachable instances of this zone that are not shutting down and
// have not lost their links to the backend servers, this one included unless it is or has,
// sorted by id.
func (r *Router) activeInZone() []deployment.InstanceID {
	now := time.Now()
	var list []deployment.InstanceID
	for _, active := range r.mesh.ActiveInZone() {
		id := deployment.InstanceID(active)
		if id == r.settings.Instance && r.zoneOutOfReach() || r.relayPeers.CutOff(now, id) {
			continue
		}
		list = append(list, id)
	}
	return list
}

// HandleMessage implements peer.Receiver.
func (r *Router) HandleMessage(from peer.Hello, message peer.Message) {
	switch message := message.(type) {
	case peer.TopicRecordsRequest:
		r.answerTopicRequest(time.Now(), from, message)
	case peer.TopicRecords:
		r.handleTopicRecords(from, message)
	case peer.LeaseHolder:
		if message.Zone == instancelist.Zone(r.settings.Zone) {
			r.controller.ObserveLeaseHolder(deployment.InstanceID(from.Instance), message.FencingToken)
		}
	case peer.LayersHeld:
		r.fleet.SetLayers(message.Backend, message.Layers)
	case peer.LayersOrdered:
		if message.Refused {
			r.fleet.ClearTargetLayers(message.Backend, message.Layers)
			return
		}
		r.fleet.SetTargetLayers(time.Now(), message.Backend, message.Layers)
	case peer.StageLoads:
		now := time.Now()
		r.fleet.SetPeerLoads(now, deployment.InstanceID(from.Instance), message.Loads)
		r.relayPeers.SetLoad(deployment.InstanceID(from.Instance), backend.StageLoads(message.Loads).Total())
		r.relayPeers.SetReaching(now, deployment.InstanceID(from.Instance), !message.CutOff)
		r.gateway.SetPeerRetries(now, deployment.InstanceID(from.Instance), retryReportsOf(message))
		r.gateway.SetPeerDemand(now, deployment.InstanceID(from.Instance), message.Demand)
		r.logLimitsTold(from, r.fleet.SetPeerLimits(now, deployment.InstanceID(from.Instance), message.Limits))
	case peer.LinksState:
		r.relayPeers.SetReaching(time.Now(), deployment.InstanceID(from.Instance), !message.CutOff)
	case peer.ZoneLoads:
		r.handleZoneLoads(time.Now(), from, message)
	case peer.StageObserved:
		r.handleObservation(time.Now(), from, message)
	case peer.Slowdown:
		r.gateway.SetSlowdown(time.Now(), message.Backend, message.Factor)
	case peer.PoisonEvidence:
		r.handlePoisonEvidence(time.Now(), from, message)
	case peer.ServersLeaving:
		r.handleDepartures(from, message)
	}
}

// HandleForward implements peer.Receiver. Routers don't forward calls to one another, so
// the status is always 404.
func (r *Router) HandleForward(peer.ForwardRequest) peer.ForwardResponse {
	return peer.ForwardResponse{Status: http.StatusNotFound}
}

// consumerOf returns the consumer of a topic, nil if this instance does not follow it.
func (r *Router) consumerOf(topic string) *consumer {
	switch topic {
	case platform.ConfigurationTopic:
		return r.configurations
	case platform.BackendsTopic:
		return r.backendList
	}
	return nil
}
