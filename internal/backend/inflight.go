package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// InFlightRequest is a request in flight at a backend server of a plain service, or on
// all stages of a path. Done must be called once.
type InFlightRequest struct {
	Backend deployment.Backend // of a path, the first stage
	fleet   *Fleet
	// servers is the state when the request began. A server that has restarted since
	// has a new state, which Done must not change.
	servers []*server
}

// Servers returns the entries of the backend servers of the request, in the order of its
// path.
func (r *InFlightRequest) Servers() []deployment.Backend {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	servers := make([]deployment.Backend, 0, len(r.servers))
	for _, s := range r.servers {
		servers = append(servers, s.Backend)
	}
	return servers
}

// Result is the outcome of a request as recorded for the ejection of the backend server.
type Result int

// The results of a request at a backend server. Inconclusive does not change the ejection.
const (
	Succeeded Result = iota
	Failed
	Inconclusive
)

// Done removes the request from the in-flight counts and records its result.
func (r *InFlightRequest) Done(now time.Time, result Result) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for i, s := range r.servers {
		s.inFlight--
		if i > 0 {
			continue // the result at the first stage shows nothing about the others
		}
		s.connections--
		switch result {
		case Succeeded:
			s.ejection.RecordSuccess()
		case Failed:
			s.ejection.RecordFailure(now)
		case Inconclusive:
		}
	}
}

// Pick chooses a backend server of a plain service and counts the request as in flight
// there. It skips those in tried, which the request has been sent to before.
func (f *Fleet) Pick(now time.Time, service *deployment.Service, zone deployment.Zone, tried map[deployment.BackendID]bool) (*InFlightRequest, bool) {
	return f.pick(now, service, zone, tried, false)
}

// PickAvailable does the same as Pick, among the servers that are not ejected, suspected or
// missing in the list.
func (f *Fleet) PickAvailable(now time.Time, service *deployment.Service, zone deployment.Zone, tried map[deployment.BackendID]bool) (*InFlightRequest, bool) {
	return f.pick(now, service, zone, tried, true)
}

func (f *Fleet) pick(now time.Time, service *deployment.Service, zone deployment.Zone, tried map[deployment.BackendID]bool, available bool) (*InFlightRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *server
	var bestRank rank
	for _, s := range f.servers {
		if s.Service != service.Name || s.Draining || s.waits(now) || tried[s.ID] || !f.mayConnect(s, service) || !f.mayStartWithinLimit(now, s) {
			continue
		}
		r := rankOf(now, s, zone)
		if available && r.unavailable {
			continue
		}
		if best == nil || r.before(bestRank) {
			best, bestRank = s, r
		}
	}
	if best == nil {
		return nil, false
	}
	best.inFlight++
	best.connections++
	best.rate.RecordArrival(now)
	return &InFlightRequest{Backend: best.Backend, fleet: f, servers: []*server{best}}, true
}

// mayConnect reports whether this instance may open one more connection to a backend
// server. The connection limit is divided evenly among all instances, because a backend
// server resets connections beyond it, possibly after it has read a request.
func (f *Fleet) mayConnect(s *server, service *deployment.Service) bool {
	if service.MaxConnections == 0 {
		return true
	}
	return s.connections < max(1, service.MaxConnections/f.load.instances)
}

// rank orders the backend servers of a plain service for a request: first those that
// are available, then those with a free slot, then those in the request's zone, then
// the least loaded.
type rank struct {
	unavailable bool
	full        bool
	otherZone   bool
	load        float64
	id          deployment.BackendID
}

func rankOf(now time.Time, s *server, zone deployment.Zone) rank {
	slots := max(1, s.Slots)
	load := s.inFlight + s.waiting
	return rank{
		unavailable: s.ejection.Ejected(now) || !s.usable(now) || !s.missingSince.IsZero(),
		full:        load >= slots,
		otherZone:   s.Zone != zone,
		load:        float64(load) / float64(slots),
		id:          s.ID,
	}
}

func (r rank) before(other rank) bool {
	switch {
	case r.unavailable != other.unavailable:
		return !r.unavailable
	case r.full != other.full:
		return !r.full
	case r.otherZone != other.otherZone:
		return !r.otherZone
	case r.load != other.load:
		return r.load < other.load
	}
	return r.id < other.id
}

// SetWaiting records the number of waiting requests that a backend server reported in a
// response.
func (f *Fleet) SetWaiting(id deployment.BackendID, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.waiting = waiting
	}
}

// Listed reports whether all stages of a path are listed and not draining.
func (f *Fleet) Listed(path pipeline.Path) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; !ok || s.Draining {
			return false
		}
	}
	return true
}

// Begin counts a request as in flight on all stages of a path. It returns false if the
// first stage is no longer listed.
func (f *Fleet) Begin(now time.Time, path pipeline.Path) (*InFlightRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, ok := f.servers[path.IDs[0]]
	if !ok {
		return nil, false
	}
	request := &InFlightRequest{Backend: first.Backend, fleet: f}
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; ok {
			s.inFlight++
			request.servers = append(request.servers, s)
		}
	}
	first.connections++
	first.rate.RecordArrival(now)
	return request, true
}
