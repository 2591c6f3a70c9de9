package gateway

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// peerRetriesMaxAge is how long another instance's part of a retry budget may be borrowed
// from after its report.
const peerRetriesMaxAge = 1500 * time.Millisecond

// peerRetries is what another instance has reported of its parts of the retry budgets.
type peerRetries struct {
	spent map[deployment.ServiceName]retrybudget.Spending
	at    time.Time
}

// RetriesSpent returns this instance's part of the retry budget of each service, to be sent
// to the other instances of the zone.
func (g *Gateway) RetriesSpent(now time.Time) map[deployment.ServiceName]retrybudget.Spending {
	g.mu.Lock()
	defer g.mu.Unlock()
	spent := map[deployment.ServiceName]retrybudget.Spending{}
	for name, state := range g.services {
		spent[name] = state.budget.Report(now)
	}
	return spent
}

// SetPeerRetries stores what another instance of the zone has reported with RetriesSpent.
func (g *Gateway) SetPeerRetries(now time.Time, instance deployment.InstanceID, spent map[deployment.ServiceName]retrybudget.Spending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerRetries[instance] = peerRetries{spent: spent, at: now}
}

// ShareRetries lets each budget borrow from the parts that other instances have reported.
func (g *Gateway) ShareRetries(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, peer := range g.peerRetries {
		if now.Sub(peer.at) > peerRetriesMaxAge {
			delete(g.peerRetries, id)
		}
	}
	for name, state := range g.services {
		var others retrybudget.Spending
		for _, peer := range g.peerRetries {
			others.Allowed += peer.spent[name].Allowed
			others.Spent += peer.spent[name].Spent
		}
		state.budget.SetOthers(others, len(g.peerRetries))
	}
}
