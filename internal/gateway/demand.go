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
// lately, or whose demand the zones share, to be sent to the other instances of the zone: plans
// for other zones assume that they know it. It is nil if there is none.
func (g *Gateway) Demand(now time.Time) map[deployment.ServiceName][]admission.PriorityDemand {
	var demand map[deployment.ServiceName][]admission.PriorityDemand
	for name, queue := range g.queues() {
		own, answerTime := queue.demand(now, g.shares.knows(name))
		g.shares.setOwn(name, own, answerTime)
		if len(own) == 0 {
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
	ignored := 0
	for name, queue := range g.queues() {
		ignored += queue.setPeerDemand(now, instance, demand[name])
	}
	g.shares.setPeerDemand(now, instance, demand)
	if ignored > 0 && g.mayLogInvalidDemand(now) {
		g.Logger.Warn("reported demand is invalid and ignored", zap.String("instance", string(instance)), zap.Int("entries", ignored))
	}
}

func (g *Gateway) mayLogInvalidDemand(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.invalidDemandLoggedAt) < invalidDemandLogInterval {
		return false
	}
	g.invalidDemandLoggedAt = now
	return true
}

// queues returns the queue of each service. A queue must not be called with mu held: it calls the
// gateway while it dispatches.
func (g *Gateway) queues() map[deployment.ServiceName]*queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	queues := make(map[deployment.ServiceName]*queue, len(g.services))
	for name, state := range g.services {
		queues[name] = state.queue
	}
	return queues
}

// demand returns the demand by rank, also without a shortage if always is set, and the mean time
// of an answer, 0 if unknown.
func (q *queue) demand(now time.Time, always bool) ([]admission.PriorityDemand, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if always {
		return q.admission.AllDemand(now), q.admission.AnswerTime()
	}
	return q.admission.Demand(now), q.admission.AnswerTime()
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
