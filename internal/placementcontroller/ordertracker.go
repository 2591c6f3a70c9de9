package placementcontroller

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/placement"
)

const (
	// replaceAfter is how long a backend server must be unavailable before its layers are
	// assigned to others. A request's stall alone takes longer.
	replaceAfter = 600 * time.Millisecond
	// stableTime is how long the number of backend servers must be unchanged before the
	// first plan.
	stableTime = 500 * time.Millisecond
	// busyWait is how long planning waits, after each report, for a backend server that
	// is applying an order of an earlier lease holder.
	busyWait = 500 * time.Millisecond
	// maxBusyWait limits the total wait for such backend servers.
	maxBusyWait = 6 * time.Second
	// An order may take loadFactor times the predicted time of its load, plus loadMargin.
	loadMargin = 2 * time.Second
	loadFactor = 3
	// releaseTimeout is added if an order releases layers, since that waits for the
	// requests that pass through them.
	releaseTimeout = 25 * time.Second
	// retryDelay is how long a backend server that did not respond gets no order.
	retryDelay = time.Second
)

// change is a planned range of layers, with the state of the backend server that the plan
// was based on.
type change struct {
	server deployment.Backend
	layers deployment.LayerRange
}

// pending is an order that may be in flight.
type pending struct {
	layers  deployment.LayerRange
	due     time.Time // when the layers should be loaded
	expires time.Time // when the order no longer counts
}

// orderTracker tracks the orders of one service in a zone: which may be in flight, and which
// backend servers can't be given one now. It is safe for concurrent use.
type orderTracker struct {
	mu          sync.Mutex
	orders      map[deployment.BackendID]pending
	retryAt     map[deployment.BackendID]time.Time // no order before
	busy        map[deployment.BackendID]time.Time // end of the wait for an unknown order
	busySince   time.Time
	healthy     map[deployment.BackendID]bool // health check results of unlisted servers
	memberCount int
	stableSince time.Time
}

func newOrderTracker() *orderTracker {
	return &orderTracker{
		orders:  map[deployment.BackendID]pending{},
		retryAt: map[deployment.BackendID]time.Time{},
		busy:    map[deployment.BackendID]time.Time{},
		healthy: map[deployment.BackendID]bool{},
	}
}

// unlistedMembers returns the unlisted backend servers that passed their health check, as
// members, and those that were not checked yet. It discards the results of all others.
func (t *orderTracker) unlistedMembers(servers []deployment.Backend) (members []backend.ServerStatus, unchecked []deployment.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[deployment.BackendID]bool{}
	for _, server := range servers {
		healthy, checked := t.healthy[server.ID]
		if !checked {
			unchecked = append(unchecked, server)
			continue
		}
		known[server.ID] = healthy
		if healthy {
			members = append(members, backend.ServerStatus{Backend: server, Unlisted: true})
		}
	}
	t.healthy = known
	return members, unchecked
}

// recordHealth records whether an unlisted backend server passed its health check.
func (t *orderTracker) recordHealth(id deployment.BackendID, healthy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthy[id] = healthy
}

// plan returns the changes to order now.
func (t *orderTracker) plan(now time.Time, engine *deployment.Engine, members []backend.ServerStatus) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stable(now, members) || t.waitingForBusy(now) {
		return nil
	}
	byID := map[deployment.BackendID]deployment.Backend{}
	var servers []placement.Server
	for _, member := range members {
		if member.UnavailableFor >= replaceAfter {
			continue
		}
		byID[member.ID] = member.Backend
		servers = append(servers, t.server(now, engine, member))
	}
	var changes []change
	for _, planned := range placement.Plan(engine, servers) {
		changes = append(changes, change{server: byID[planned.ID], layers: planned.Layers})
	}
	return changes
}

// stable reports whether a plan may be made. The first plan waits until the number of
// members is unchanged for stableTime, so that it includes every backend server of the
// zone.
func (t *orderTracker) stable(now time.Time, members []backend.ServerStatus) bool {
	holding := false
	for _, member := range members {
		holding = holding || member.Layers.Len() > 0
	}
	if holding || len(t.orders) > 0 {
		return true
	}
	if len(members) != t.memberCount {
		t.memberCount = len(members)
		t.stableSince = now
	}
	return len(members) > 0 && now.Sub(t.stableSince) >= stableTime
}

// waitingForBusy reports whether to wait for orders of an earlier lease holder, whose target
// layers are not known.
func (t *orderTracker) waitingForBusy(now time.Time) bool {
	for id, until := range t.busy {
		if now.After(until) {
			delete(t.busy, id)
		}
	}
	if len(t.busy) == 0 {
		t.busySince = time.Time{}
		return false
	}
	return now.Sub(t.busySince) < maxBusyWait
}

func (t *orderTracker) server(now time.Time, engine *deployment.Engine, member backend.ServerStatus) placement.Server {
	s := placement.Server{
		ID: member.ID, Memory: engine.Accelerators[member.Accelerator].Memory, Layers: member.Layers,
		Fixed: now.Before(t.retryAt[member.ID]) || member.UnavailableFor > 0 || member.Unlisted,
	}
	order, ok := t.orders[member.ID]
	if !ok {
		return s
	}
	if order.layers == member.Layers || now.After(order.expires) {
		delete(t.orders, member.ID)
		return s
	}
	s.Layers = order.layers
	s.Fixed = true
	return s
}

// loadsDue returns the backend servers whose loads should have finished by now, but which are
// not known to hold the ordered layers yet.
func (t *orderTracker) loadsDue(now time.Time, members []backend.ServerStatus) []deployment.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []deployment.Backend
	for _, member := range members {
		order, ok := t.orders[member.ID]
		if ok && order.layers != member.Layers && now.Before(order.expires) && !now.Before(order.due) {
			servers = append(servers, member.Backend)
		}
	}
	return servers
}

// recordUnreachable records that a backend server did not respond.
func (t *orderTracker) recordUnreachable(now time.Time, id deployment.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAt[id] = now.Add(retryDelay)
}

// confirm reports whether a change still matches the backend server's own report, and records
// that a server is busy.
func (t *orderTracker) confirm(now time.Time, c change, report deployment.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if report.Busy {
		if t.busySince.IsZero() {
			t.busySince = now
		}
		t.busy[c.server.ID] = now.Add(busyWait)
		return false
	}
	return report.Layers == c.server.Layers
}

// recordOrder records an order before it is sent, since the backend server may apply it
// although its response is lost.
func (t *orderTracker) recordOrder(now time.Time, engine *deployment.Engine, c change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	added := 0
	for layer := c.layers.First; layer < c.layers.End; layer++ {
		if layer < c.server.Layers.First || layer >= c.server.Layers.End {
			added++
		}
	}
	load := time.Duration(float64(engine.LoadTime) * float64(added) / float64(engine.Layers))
	expires := now.Add(loadFactor*load + loadMargin)
	if !c.layers.Contains(c.server.Layers) {
		expires = expires.Add(releaseTimeout)
	}
	t.orders[c.server.ID] = pending{layers: c.layers, due: now.Add(load), expires: expires}
}

// removeOrder removes an order that will not be applied, or has been.
func (t *orderTracker) removeOrder(id deployment.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, id)
}
