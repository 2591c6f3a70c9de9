package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// maxDeparted is the number of incarnations that are remembered as leaving. The list forgets an
// incarnation long before as many others have left.
const maxDeparted = 4096

// departed are the incarnations that have said that they leave, whatever becomes of their entries.
type departed map[deployment.Incarnation]bool

func (d departed) add(incarnation deployment.Incarnation) {
	if len(d) >= maxDeparted {
		clear(d)
	}
	d[incarnation] = true
}

// RecordStatement records what a backend server says of itself. One that leaves gets nothing new
// until another incarnation is in its place, also while the list says otherwise; one that wants no
// requests gets none until then. It reports whether the server was not known to leave.
func (f *Fleet) RecordStatement(now time.Time, id deployment.BackendID, statement deployment.ServerStatement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordStatement(now, f.servers[id], statement)
}

// RecordStatementAt does so for the backend server at an address, and returns its id.
func (f *Fleet) RecordStatementAt(now time.Time, address deployment.Address, statement deployment.ServerStatement) (deployment.BackendID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress(address)
	if s == nil {
		return "", false
	}
	return s.ID, f.recordStatement(now, s, statement)
}

func (f *Fleet) recordStatement(now time.Time, s *server, statement deployment.ServerStatement) bool {
	if s == nil {
		return false
	}
	if statement.Wait > 0 {
		s.waitUntil = later(s.waitUntil, now.Add(statement.Wait))
	}
	leaves := statement.Leaving && !s.Draining
	if leaves {
		s.Draining = true
		f.departed.add(s.Backend.Incarnation())
	}
	return leaves
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
