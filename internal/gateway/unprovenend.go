package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

const (
	// proofTimeout is how long after its connections broke off a backend server must have gone from the
	// list to have ended then: three heartbeats, and the time that the list may take to arrive.
	proofTimeout = 10 * time.Second
	// recheckInterval is the interval at which such a server is connected to again, once this instance
	// reaches others of the service.
	recheckInterval = 500 * time.Millisecond
	// maxUnproven bounds the ends that wait for a proof.
	maxUnproven = 256
)

// unprovenEnd is the end of a backend server that refuses connections, while this instance reaches no
// other server of the service: all of them may have ended, or its own links may be at fault. If it still
// refuses connections when others accept them again, it has ended. The backend list tells too, to which
// the servers write themselves: there a server that runs stays, and one that has ended goes, or another
// incarnation takes its place.
type unprovenEnd struct {
	server    deployment.Backend
	at        time.Time       // when its connections broke off
	blamed    []poison.Blamed // attempts of this instance
	checkedAt time.Time       // when it last refused a connection, or was last asked
}

// awaitProof keeps the end of a backend server, with the attempts that are to be blamed, until it is proven
// or proofTimeout has passed.
func (e *endWatch) awaitProof(now time.Time, suspect suspectedEnd) {
	incarnation := suspect.server.Incarnation()
	e.mu.Lock()
	defer e.mu.Unlock()
	at := e.endTime(now, suspect)
	known, ok := e.unproven[incarnation]
	if !ok {
		if len(e.unproven) >= maxUnproven {
			return
		}
		known = &unprovenEnd{server: suspect.server, at: at}
		e.unproven[incarnation] = known
	}
	known.checkedAt = now
	for _, blamed := range e.blamedFor(at, incarnation) {
		if !slices.ContainsFunc(known.blamed, func(b poison.Blamed) bool { return b.Attempt == blamed.Attempt }) {
			known.blamed = append(known.blamed, blamed)
		}
	}
	if ok {
		return
	}
	e.config.Logger.Info("backend server refuses connections, others are not reached", zap.String("backend", string(suspect.server.ID)),
		zap.String("address", string(suspect.server.Address)), zap.Int("blamed", len(known.blamed)))
}

// takeUnproven removes an end that waits for a proof, and returns the attempts that are to be blamed. It
// is called with mu held.
func (e *endWatch) takeUnproven(incarnation deployment.Incarnation) []poison.Blamed {
	known, ok := e.unproven[incarnation]
	if !ok {
		return nil
	}
	delete(e.unproven, incarnation)
	return known.blamed
}

// proveEnds records the ends that the backend list now shows, and forgets those of servers that have
// stayed in it, or have announced that they leave.
func (e *endWatch) proveEnds(now time.Time) {
	for _, end := range e.provenEnds(now) {
		incarnation := end.server.Incarnation()
		e.mu.Lock()
		news := e.tracker.RecordEnd(now, end.at, incarnation, end.blamed)
		e.changed(now, news)
		e.mu.Unlock()
		e.tell(news)
		e.logEnd(end.server, shownByList, "", len(end.blamed))
	}
}

// recheckEnds checks again the servers whose ends wait for a proof, if this instance reaches others of
// their service again.
func (e *endWatch) recheckEnds(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, end := range e.unproven {
		if now.Sub(end.checkedAt) < recheckInterval || !e.config.Links.SomeUp(now, end.server.Service) {
			continue
		}
		end.checkedAt = now
		go e.checkEnd(context.Background(), suspectedEnd{server: end.server, at: end.at})
	}
}

// provenEnds removes the ends that are decided, and returns those that are proven.
func (e *endWatch) provenEnds(now time.Time) []*unprovenEnd {
	e.mu.Lock()
	defer e.mu.Unlock()
	var proven []*unprovenEnd
	for incarnation, end := range e.unproven {
		listing := e.config.Fleet.ListingOf(now, incarnation)
		inTime := now.Sub(end.at) < proofTimeout
		if listing == backend.Listed && inTime {
			continue
		}
		delete(e.unproven, incarnation)
		if listing == backend.Gone && inTime {
			proven = append(proven, end)
		}
	}
	return proven
}

// endedServers returns the servers of a plain service that must not get a request on which servers may
// have ended: the list still shows an incarnation that has ended, or may have. The next one may be running
// at its address, and its end could not be told from the known one. Other requests may go there.
func (e *endWatch) endedServers(now time.Time, c *call) map[deployment.BackendID]bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.tracker.Blamed(now, c.keys) && !e.unprovenBlames(c.keys) {
		return nil
	}
	servers := map[deployment.BackendID]bool{}
	for _, incarnation := range e.config.Fleet.Incarnations(c.service.Name) {
		if e.tracker.Ended(incarnation) || e.unproven[incarnation] != nil {
			servers[incarnation.Server] = true
		}
	}
	return servers
}

// unprovenBlames reports whether a request with some keys was in flight on a server whose end waits for a
// proof. It is called with mu held.
func (e *endWatch) unprovenBlames(keys []poison.Key) bool {
	for _, end := range e.unproven {
		for _, blamed := range end.blamed {
			if slices.ContainsFunc(blamed.Keys, func(key poison.Key) bool { return slices.Contains(keys, key) }) {
				return true
			}
		}
	}
	return false
}

// recordReplaced records that another backend server has responded at the address of one.
func (g *Gateway) recordReplaced(now time.Time, id deployment.BackendID) {
	g.Fleet.RemoveReplaced(id)
	g.ends.proveEnds(now)
}

// RecordListRead records that the backend list was read: it may show that servers have ended. Those whose
// ends it does not decide are asked again, where others are reached.
func (g *Gateway) RecordListRead(now time.Time) {
	g.ends.proveEnds(now)
	g.ends.recheckEnds(now)
}
