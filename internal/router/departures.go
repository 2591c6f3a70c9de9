package router

import (
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
)

// broadcastDepartures tells all peers which backend servers have told this instance that they leave.
func (r *Router) broadcastDepartures() {
	if untold := r.fleet.TakeUntold(); len(untold) > 0 {
		r.mesh.Broadcast(peer.ServersLeaving{Servers: untold})
	}
}

// handleDepartures records the backend servers that leave as a peer has told. What is new goes on to the
// peers that the sender is not linked to: from this zone to other zones, and from another zone to this
// one.
func (r *Router) handleDepartures(from peer.Hello, message peer.ServersLeaving) {
	news := r.fleet.RecordPeerDepartures(message.Servers)
	if len(news) == 0 {
		return
	}
	r.logDepartures(from, news)
	if from.Zone == instancelist.Zone(r.settings.Zone) {
		r.mesh.BroadcastOtherZones(peer.ServersLeaving{Servers: news})
		return
	}
	r.mesh.BroadcastZone(peer.ServersLeaving{Servers: news})
}

func (r *Router) logDepartures(from peer.Hello, news []deployment.Incarnation) {
	for _, incarnation := range news {
		r.logger.Info("server leaves", zap.String("backend", string(incarnation.Server)), zap.Int64("born", incarnation.StartedAt),
			zap.String("source", "peer"), zap.String("told-by", string(from.Instance)))
	}
}
