package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

// invalidDemandLogInterval is the minimum interval between log lines on invalid reports.
const invalidDemandLogInterval = 10 * time.Second

// Demand returns the demand of this instance for each service for which requests have waited
// lately, to be sent to the other instances of the zone. It is nil if there is none.
func (g *Gateway) Demand(now time.Time) map[deployment.ServiceName][]admission.PriorityDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var demand map[deployment.ServiceName][]admission.PriorityDemand
	for name, state := range g.services {
		own := state.queue.demand(now)
		if own == nil {
			continue
		}
		if demand == nil {
			demand = map[deployment.ServiceName][]admission.PriorityDemand{}
		}
		demand[name] = own
	}
	return demand
}

// SetPeerDemand stores what another instance of the zone has reported with Demand. A service that
// this instance has got no request for yet is left out.
func (g *Gateway) SetPeerDemand(now time.Time, instance deployment.InstanceID, demand map[deployment.ServiceName][]admission.PriorityDemand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ignored := 0
	for name, state := range g.services {
		ignored += state.queue.setPeerDemand(now, instance, demand[name])
	}
	if ignored > 0 && now.Sub(g.invalidDemandLoggedAt) >= invalidDemandLogInterval {
		g.invalidDemandLoggedAt = now
		g.Logger.Warn("reported demand is invalid and ignored", zap.String("instance", string(instance)), zap.Int("entries", ignored))
	}
}

func (q *queue) demand(now time.Time) []admission.PriorityDemand {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Demand(now)
}

func (q *queue) setPeerDemand(now time.Time, instance deployment.InstanceID, demand []admission.PriorityDemand) (ignored int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.SetPeerDemand(now, instance, demand)
}

// recordAnswer records how long an answer took from its admission to its end.
func (q *queue) recordAnswer(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.RecordAnswer(took)
}
