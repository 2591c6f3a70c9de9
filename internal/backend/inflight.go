package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// InFlightRequest is a request under way at a backend server. Done must be called once.
type InFlightRequest struct {
	Backend deployment.Backend
	fleet   *Fleet
	servers []*server // as they were when the work began, which may have started anew since
	onPath  bool
}

// Result is how a request at a backend server ended, as far as it says something
// of the backend server.
type Result int

// The results of a request at a backend server.
const (
	Succeeded Result = iota
	Failed
	Inconclusive
)

// Done ends the work.
func (w *InFlightRequest) Done(now time.Time, result Result) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.onPath {
		w.fleet.load.own[w.Backend.Zone]--
	}
	for i, s := range w.servers {
		s.inFlight--
		if i > 0 {
			continue // what happened at the first one says nothing of the others
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

// Pick chooses a backend server of a plain service and counts the work. tried
// holds those that the request has been at.
func (f *Fleet) Pick(now time.Time, service *deployment.Service, zone deployment.Zone, tried map[deployment.BackendID]bool) (*InFlightRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *server
	var bestRank rank
	for _, s := range f.servers {
		if s.Service != service.Name || s.Draining || tried[s.ID] || !f.mayConnect(s, service) {
			continue
		}
		r := rankOf(now, s, zone)
		if best == nil || r.before(bestRank) {
			best, bestRank = s, r
		}
	}
	if best == nil {
		return nil, false
	}
	best.inFlight++
	best.connections++
	return &InFlightRequest{Backend: best.Backend, fleet: f, servers: []*server{best}}, true
}

// mayConnect tells whether this instance may open one more connection to a backend
// server. All instances share what it accepts in even parts, as it resets what is
// beyond that after it may have read a request.
func (f *Fleet) mayConnect(s *server, service *deployment.Service) bool {
	if service.MaxConnections == 0 {
		return true
	}
	return s.connections < max(1, service.MaxConnections/f.load.instances)
}

// rank orders the backend servers of a plain service for a request: first those
// that work, then those with a free slot, then those of the request's zone, then
// the least loaded.
type rank struct {
	out     bool
	full    bool
	foreign bool
	load    float64
	id      deployment.BackendID
}

func rankOf(now time.Time, s *server, zone deployment.Zone) rank {
	slots := max(1, s.Slots)
	load := s.inFlight + s.waiting
	return rank{
		out:     s.ejection.Ejected(now) || !s.usable(now) || !s.missingSince.IsZero(),
		full:    load >= slots,
		foreign: s.Zone != zone,
		load:    float64(load) / float64(slots),
		id:      s.ID,
	}
}

func (r rank) before(other rank) bool {
	switch {
	case r.out != other.out:
		return !r.out
	case r.full != other.full:
		return !r.full
	case r.foreign != other.foreign:
		return !r.foreign
	case r.load != other.load:
		return r.load < other.load
	}
	return r.id < other.id
}

// SetWaiting takes the load that a backend server told with an answer.
func (f *Fleet) SetWaiting(id deployment.BackendID, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.waiting = waiting
	}
}

// Begin counts work on all stages of a path. It fails where the first one is no
// longer listed.
func (f *Fleet) Begin(path pipeline.Path) (*InFlightRequest, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first, ok := f.servers[path.IDs[0]]
	if !ok {
		return nil, false
	}
	work := &InFlightRequest{Backend: first.Backend, fleet: f, onPath: true}
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; ok {
			s.inFlight++
			work.servers = append(work.servers, s)
		}
	}
	first.connections++
	f.load.own[first.Zone]++
	return work, true
}
