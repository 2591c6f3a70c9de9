package placementcontroller

import (
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/placement"
)

const (
	// lostAfter is how long a backend server is suspected before its layers are
	// given to others. A request's stall alone takes longer.
	lostAfter = 600 * time.Millisecond
	// calmTime is how long the list must be unchanged before the first plan.
	calmTime = 500 * time.Millisecond
	// busyTime is how long a backend server that carries out an order of someone
	// else is waited for.
	busyTime = 500 * time.Millisecond
	// longestBusy bounds that wait over all of them.
	longestBusy = 6 * time.Second
	// loadMargin is added to three times the time that a load should take.
	loadMargin = 2 * time.Second
	loadFactor = 3
	// giveUpTime is how long giving up layers may take, as it waits for the
	// requests that pass through them.
	giveUpTime = 25 * time.Second
	// againAfter is the pause before a backend server without an answer is asked
	// again.
	againAfter = time.Second
)

// change is a placement change together with what the plan took the backend
// server to be.
type change struct {
	server deployment.Backend
	layers deployment.LayerRange
}

// pending is an order that may be under way.
type pending struct {
	layers deployment.LayerRange
	due    time.Time // when the layers should be loaded
	until  time.Time // when the order is given up
}

// book keeps the orders of one service in a zone: which may be under way, and
// which backend servers can't be ordered now. It is safe for concurrent use.
type book struct {
	mu        sync.Mutex
	orders    map[deployment.BackendID]pending
	silent    map[deployment.BackendID]time.Time // not to be asked before
	busy      map[deployment.BackendID]time.Time // busy with an unknown order
	busySince time.Time
	well      map[deployment.BackendID]bool // what those without an entry have said
	members   int
	calmSince time.Time
}

func newBook() *book {
	return &book{
		orders: map[deployment.BackendID]pending{},
		silent: map[deployment.BackendID]time.Time{},
		busy:   map[deployment.BackendID]time.Time{},
		well:   map[deployment.BackendID]bool{},
	}
}

// departed returns as members those backend servers without an entry that have said
// that they are well, and the ones that are still to be asked.
func (b *book) departed(servers []deployment.Backend) (members []backend.ServerStatus, ask []deployment.Backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[deployment.BackendID]bool{}
	for _, server := range servers {
		well, asked := b.well[server.ID]
		if !asked {
			ask = append(ask, server)
			continue
		}
		known[server.ID] = well
		if well {
			members = append(members, backend.ServerStatus{Backend: server, Unlisted: true})
		}
	}
	b.well = known
	return members, ask
}

// answered notes whether a backend server without an entry is well.
func (b *book) answered(id deployment.BackendID, well bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.well[id] = well
}

// plan returns the changes to carry out now.
func (b *book) plan(now time.Time, engine *deployment.Engine, members []backend.ServerStatus) []change {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.calm(now, members) || b.waitForBusy(now) {
		return nil
	}
	byID := map[deployment.BackendID]deployment.Backend{}
	var servers []placement.Server
	for _, member := range members {
		if member.UnavailableFor >= lostAfter {
			continue
		}
		byID[member.ID] = member.Backend
		servers = append(servers, b.server(now, engine, member))
	}
	var changes []change
	for _, planned := range placement.Plan(engine, servers) {
		changes = append(changes, change{server: byID[planned.ID], layers: planned.Layers})
	}
	return changes
}

// calm tells whether the first plan may be made: every backend server of the zone
// should be on the list by then.
func (b *book) calm(now time.Time, members []backend.ServerStatus) bool {
	holding := false
	for _, member := range members {
		holding = holding || member.Layers.Len() > 0
	}
	if holding || len(b.orders) > 0 {
		return true
	}
	if len(members) != b.members {
		b.members = len(members)
		b.calmSince = now
	}
	return len(members) > 0 && now.Sub(b.calmSince) >= calmTime
}

// waitForBusy tells whether to wait for orders that an earlier holder of the duty
// has given, whose target is not known.
func (b *book) waitForBusy(now time.Time) bool {
	for id, until := range b.busy {
		if now.After(until) {
			delete(b.busy, id)
		}
	}
	if len(b.busy) == 0 {
		b.busySince = time.Time{}
		return false
	}
	return now.Sub(b.busySince) < longestBusy
}

func (b *book) server(now time.Time, engine *deployment.Engine, member backend.ServerStatus) placement.Server {
	s := placement.Server{
		ID: member.ID, Memory: engine.Accelerators[member.Accelerator].Memory, Layers: member.Layers,
		Fixed: now.Before(b.silent[member.ID]) || member.UnavailableFor > 0 || member.Unlisted,
	}
	order, ok := b.orders[member.ID]
	if !ok {
		return s
	}
	if order.layers == member.Layers || now.After(order.until) {
		delete(b.orders, member.ID)
		return s
	}
	s.Layers = order.layers
	s.Fixed = true
	return s
}

// loading returns the backend servers whose orders should be done by now or soon.
func (b *book) loading(now time.Time, members []backend.ServerStatus) []deployment.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	var servers []deployment.Backend
	for _, member := range members {
		order, ok := b.orders[member.ID]
		if ok && order.layers != member.Layers && now.Before(order.until) && !now.Before(order.due) {
			servers = append(servers, member.Backend)
		}
	}
	return servers
}

// unreachable notes a backend server that did not answer.
func (b *book) unreachable(now time.Time, id deployment.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent[id] = now.Add(againAfter)
}

// confirm tells whether a change still fits a backend server's own report.
func (b *book) confirm(now time.Time, c change, report deployment.Report) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if report.Busy {
		if b.busySince.IsZero() {
			b.busySince = now
		}
		b.busy[c.server.ID] = now.Add(busyTime)
		return false
	}
	return report.Layers == c.server.Layers
}

// ordered notes an order before it is sent, as it may be carried out without an
// answer.
func (b *book) ordered(now time.Time, engine *deployment.Engine, c change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	added := 0
	for layer := c.layers.First; layer < c.layers.End; layer++ {
		if layer < c.server.Layers.First || layer >= c.server.Layers.End {
			added++
		}
	}
	load := time.Duration(float64(engine.LoadTime) * float64(added) / float64(engine.Layers))
	until := now.Add(loadFactor*load + loadMargin)
	if !c.layers.Contains(c.server.Layers) {
		until = until.Add(giveUpTime)
	}
	b.orders[c.server.ID] = pending{layers: c.layers, due: now.Add(load), until: until}
}

// refused notes that an order will not be carried out, or has been.
func (b *book) refused(id deployment.BackendID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.orders, id)
}
