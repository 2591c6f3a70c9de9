package router

import (
	"context"
	"math/rand/v2"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/poison"
)

const (
	// poisonShareInterval is the interval at which this instance sends all it knows of ends
	// of backend servers to one peer, to make good for messages that were lost.
	poisonShareInterval = 2 * time.Second
	// poisonShareDuration is how long it does so after its knowledge has changed.
	poisonShareDuration = 30 * time.Second
)

// broadcastPoisonEvidence sends what is new about ends of backend servers to all peers.
func (r *Router) broadcastPoisonEvidence(evidence poison.Evidence) {
	r.mesh.Broadcast(peer.PoisonEvidence{Evidence: evidence})
}

// handlePoisonEvidence adds what a peer knows. What is new goes on to the peers that the
// sender is not linked to: from this zone to other zones, and from another zone to this one.
func (r *Router) handlePoisonEvidence(now time.Time, from peer.Hello, message peer.PoisonEvidence) {
	news := r.gateway.MergePoisonEvidence(now, deployment.InstanceID(from.Instance), message.Evidence)
	if news.Empty() {
		return
	}
	if from.Zone == instancelist.Zone(r.settings.Zone) {
		r.mesh.BroadcastOtherZones(peer.PoisonEvidence{Evidence: news})
		return
	}
	r.mesh.BroadcastZone(peer.PoisonEvidence{Evidence: news})
}

// sharePoisonEvidence sends all that is known to a peer chosen at random, at intervals, until
// ctx ends.
func (r *Router) sharePoisonEvidence(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, poisonShareInterval)
		now := time.Now()
		evidence, changedAt := r.gateway.PoisonEvidence(now)
		peers := r.mesh.Connected()
		if evidence.Empty() || len(peers) == 0 || now.Sub(changedAt) > poisonShareDuration {
			continue
		}
		r.mesh.Send(peers[rand.IntN(len(peers))].Instance, peer.PoisonEvidence{Evidence: evidence})
	}
}
