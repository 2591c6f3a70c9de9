package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// RecordStatement records what a backend server says of itself, whether or not it is listed. One that
// leaves gets nothing new until another incarnation is in its place, also while the list says otherwise;
// one that wants no requests gets none until then. It reports whether the server was not known to leave.
func (f *Fleet) RecordStatement(now time.Time, incarnation deployment.Incarnation, statement deployment.ServerStatement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordStatement(now, incarnation, statement)
}

// RecordStatementAt does so for the backend server at an address, and returns its incarnation, the zero
// one if none is known there.
func (f *Fleet) RecordStatementAt(now time.Time, address deployment.Address, statement deployment.ServerStatement) (deployment.Incarnation, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress(address)
	if s == nil {
		s = f.unlistedByAddress(address)
	}
	if s == nil {
		return deployment.Incarnation{}, false
	}
	return s.Incarnation(), f.recordStatement(now, s.Incarnation(), statement)
}

func (f *Fleet) recordStatement(now time.Time, incarnation deployment.Incarnation, statement deployment.ServerStatement) bool {
	s := f.state(incarnation)
	if statement.Wait > 0 && s != nil {
		s.waitUntil = later(s.waitUntil, now.Add(statement.Wait))
	}
	if !statement.Leaving || !f.recordDeparture(incarnation, s) {
		return false
	}
	f.untold = append(f.untold, incarnation)
	return true
}

// state returns the state of an incarnation that is listed, or was, nil if there is none.
func (f *Fleet) state(incarnation deployment.Incarnation) *server {
	if s := f.running(incarnation); s != nil {
		return s
	}
	if unlisted, ok := f.unlisted[incarnation.Server]; ok && unlisted.Incarnation() == incarnation {
		return unlisted.server
	}
	return nil
}

// waits reports whether the server wants no requests.
func (s *server) waits(now time.Time) bool { return now.Before(s.waitUntil) }

// TakesRequests reports whether a backend server is known, stays and does not want to wait.
func (f *Fleet) TakesRequests(now time.Time, id deployment.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	return ok && !s.Draining && !s.waits(now)
}

// TimeToRequests returns the time until the first of the servers of a service that want no requests
// takes them again. It returns false if one of its servers has not asked to wait, or there is none.
func (f *Fleet) TimeToRequests(now time.Time, service deployment.ServiceName) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var earliest time.Time
	for _, s := range f.servers {
		if s.Service != service || !s.listed() {
			continue
		}
		if !s.waits(now) {
			return 0, false
		}
		if earliest.IsZero() || s.waitUntil.Before(earliest) {
			earliest = s.waitUntil
		}
	}
	return earliest.Sub(now), !earliest.IsZero()
}
