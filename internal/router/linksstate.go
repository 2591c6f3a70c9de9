package router

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/peer"
)

// linksStateInterval is the interval at which this instance tells the others that it has lost
// its links to the backend servers.
const linksStateInterval = time.Second

// outOfReach reports whether this instance reaches no server of any service, so that it can't
// serve in the place of others. One that lacks some service only refuses requests for it.
func (r *Router) outOfReach(now time.Time) bool {
	if r.links.Calm(now) {
		return false
	}
	table, ok := r.routingTable.Load()
	if !ok {
		return r.links.AnyCutOff()
	}
	services := table.Services()
	for i := range services {
		if !r.links.Unreachable(now, &services[i]) {
			return false
		}
	}
	return len(services) > 0
}

// zoneOutOfReach reports whether this instance does not reach most of the model servers of its
// zone, and its links are at fault, so that it can't give them orders.
func (r *Router) zoneOutOfReach() bool {
	now := time.Now()
	if r.links.Calm(now) {
		return false
	}
	down, all := 0, 0
	for _, stage := range r.fleet.ZoneStages() {
		all++
		if r.links.CutOff(stage.Service) || r.links.Down(now, stage.Address) && r.fleet.ReachedByOthers(now, stage.ID) {
			down++
		}
	}
	return 2*down > all
}

// broadcastLinksState tells the other instances whether this one can't serve in their place, as
// its links to the servers of a service have just been lost or are back.
func (r *Router) broadcastLinksState(_ deployment.ServiceName, cutOff bool) {
	r.mesh.Broadcast(peer.LinksState{CutOff: cutOff || r.outOfReach(time.Now())})
}

// repeatLinksState tells the other instances at intervals that this one can't serve in their
// place, and once that it can again.
func (r *Router) repeatLinksState(now time.Time) {
	cutOff := r.outOfReach(now)
	if !cutOff && !r.toldOutOfReach || cutOff && now.Sub(r.linksStateAt) < linksStateInterval {
		return
	}
	r.linksStateAt = now
	r.toldOutOfReach = cutOff
	r.mesh.Broadcast(peer.LinksState{CutOff: cutOff})
}

// broadcastLinkDown tells the zone that this instance does not reach a backend server, though
// it reaches others.
func (r *Router) broadcastLinkDown(address deployment.Address) {
	if id, ok := r.fleet.At(address); ok {
		r.broadcastObservation(id, backend.LinkFailed)
	}
}

// handleObservation records what a peer has observed of a backend server, and tells it in reply
// what it can't know.
func (r *Router) handleObservation(now time.Time, from peer.Hello, message peer.StageObserved) {
	if message.What == backend.StageSuspected {
		r.gateway.RecordPeerSuspicion(now, message.Backend)
	}
	reply, replies := r.fleet.RecordObservation(now, deployment.InstanceID(from.Instance), message.Backend, message.What)
	if replies {
		r.mesh.Send(from.Instance, peer.StageObserved{Backend: message.Backend, What: reply})
	}
}

// bodyLimit returns the limit on the body of a client's request in bytes, 0 for none.
func (r *Router) bodyLimit() int64 {
	table, ok := r.routingTable.Load()
	if !ok {
		return 0
	}
	return table.Limits().BodyBytes
}
