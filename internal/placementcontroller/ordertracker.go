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
	// assigned to others, counted from the start of the suspicion or from the first of
	// consecutive rejections. The platform stalls a request that waits for a failed
	// stage for longer than this (2.5 s).
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
	// layerReleaseTimeout is added if an order releases layers, since that waits for the
	// requests that pass through them.
	layerReleaseTimeout = 25 * time.Second
	// retryDelay is how long a backend server that did not respond gets no order.
	retryDelay = time.Second
)

// change is a planned range of layers, with the state of the backend server that the plan
// was based on.
type change struct {
	server deployment.Backend
	layers deployment.LayerRange
}

// pendingOrder is an order that may be in flight.
type pendingOrder struct {
	layers   deployment.LayerRange
	loadedBy time.Time // when the load is predicted to have finished
	expires  time.Time // when the order no longer counts
}

// orderTracker tracks the orders of one service in a zone: which may be in flight, and which
// backend servers can't be given one now. It is safe for concurrent use.
type orderTracker struct {
	mu          sync.Mutex
	orders      map[deployment.BackendID]pendingOrder
	retryAt     map[deployment.BackendID]time.Time // no order before
	busy        map[deployment.BackendID]time.Time // end of the wait for an unknown order
	busySince   time.Time
	healthy     map[deployment.BackendID]bool // health check results of unlisted servers
	serverCount int
	stableSince time.Time
}

func newOrderTracker() *orderTracker {
	return &orderTracker{
		orders:  map[deployment.BackendID]pendingOrder{},
		retryAt: map[deployment.BackendID]time.Time{},
		busy:    map[deployment.BackendID]time.Time{},
		healthy: map[deployment.BackendID]bool{},
	}
}

// unlistedStatuses returns the status of each unlisted backend server that passed its health
// check, and those servers that were not checked yet. It discards the results of all others.
func (t *orderTracker) unlistedStatuses(unlisted []deployment.Backend) (statuses []backend.ServerStatus, unchecked []deployment.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[deployment.BackendID]bool{}
	for _, server := range unlisted {
		healthy, checked := t.healthy[server.ID]
		if !checked {
			unchecked = append(unchecked, server)
			continue
		}
		known[server.ID] = healthy
		if healthy {
			statuses = append(statuses, backend.ServerStatus{Backend: server, Unlisted: true})
		}
	}
	t.healthy = known
	return statuses, unchecked
}

// recordHealth records whether an unlisted backend server passed its health check.
func (t *orderTracker) recordHealth(id deployment.BackendID, healthy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthy[id] = healthy
}

// plan returns the changes to order now.
func (t *orderTracker) plan(now time.Time, engine *deployment.Engine, statuses []backend.ServerStatus) []change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stable(now, statuses) || t.waitingForBusy(now) {
		return nil
	}
	byID := map[deployment.BackendID]deployment.Backend{}
	var servers []placement.Server
	for _, status := range statuses {
		if status.UnavailableFor >= replaceAfter {
			continue
		}
		byID[status.ID] = status.Backend
		server := t.server(now, engine, status)
		if isEntry(server.Layers, statuses) {
			server.Layers = deployment.LayerRange{}
		}
		servers = append(servers, server)
	}
	var changes []change
	for _, planned := range placement.Plan(engine, servers) {
		if held := byID[planned.ID]; held.Layers != planned.Layers {
			changes = append(changes, change{server: held, layers: planned.Layers})
		}
	}
	if len(changes) > 0 {
		return changes
	}
	if entry, ok := t.entryOrder(now, statuses); ok {
		changes = append(changes, entry)
	}
	return changes
}

// stable reports whether a plan may be made. The first plan waits until the number of
// backend servers is unchanged for stableTime, so that it includes every one of the zone.
func (t *orderTracker) stable(now time.Time, statuses []backend.ServerStatus) bool {
	holding := false
	for _, status := range statuses {
		holding = holding || status.Layers.Len() > 0
	}
	if holding || len(t.orders) > 0 {
		return true
	}
	if len(statuses) != t.serverCount {
		t.serverCount = len(statuses)
		t.stableSince = now
	}
	return len(statuses) > 0 && now.Sub(t.stableSince) >= stableTime
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

func (t *orderTracker) server(now time.Time, engine *deployment.Engine, status backend.ServerStatus) placement.Server {
	accelerator := engine.Accelerators[status.Accelerator]
	s := placement.Server{
		ID: status.ID, Memory: accelerator.Memory, StepFactor: accelerator.StepFactor, Slots: status.Slots, Layers: status.Layers,
		Fixed: now.Before(t.retryAt[status.ID]) || status.UnavailableFor > 0 || status.Unlisted,
	}
	order, ok := t.orders[status.ID]
	if !ok {
		return s
	}
	if order.layers == status.Layers || now.After(order.expires) {
		delete(t.orders, status.ID)
		return s
	}
	s.Layers = order.layers
	s.Fixed = true
	return s
}

// loadsDue returns the backend servers whose loads should have finished by now, but which are
// not known to hold the ordered layers yet.
func (t *orderTracker) loadsDue(now time.Time, statuses []backend.ServerStatus) []deployment.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var servers []deployment.Backend
	for _, status := range statuses {
		order, ok := t.orders[status.ID]
		if ok && order.layers != status.Layers && now.Before(order.expires) && !now.Before(order.loadedBy) {
			servers = append(servers, status.Backend)
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
		expires = expires.Add(layerReleaseTimeout)
	}
	t.orders[c.server.ID] = pendingOrder{layers: c.layers, loadedBy: now.Add(load), expires: expires}
}

// removeOrder removes an order that will not be applied, or has been.
func (t *orderTracker) removeOrder(id deployment.BackendID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.orders, id)
}
