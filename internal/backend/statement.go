package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// maxDeparted is the number of incarnations that are remembered as leaving. The list forgets an
// incarnation long before as many others have left.
const maxDeparted = 4096

// departed are the incarnations that leave, as they or the list have said, whatever becomes of their
// entries.
type departed struct {
	numbers map[deployment.Incarnation]int // in the order in which they were added
	next    int
}

func newDeparted() departed { return departed{numbers: map[deployment.Incarnation]int{}} }

func (d *departed) has(incarnation deployment.Incarnation) bool {
	_, ok := d.numbers[incarnation]
	return ok
}

// add reports whether the incarnation was not known to leave.
func (d *departed) add(incarnation deployment.Incarnation) bool {
	if d.has(incarnation) {
		return false
	}
	if len(d.numbers) >= maxDeparted {
		d.removeOldest()
	}
	d.numbers[incarnation] = d.next
	d.next++
	return true
}

func (d *departed) removeOldest() {
	for incarnation, number := range d.numbers {
		if number == d.next-len(d.numbers) {
			delete(d.numbers, incarnation)
			return
		}
	}
}

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

// recordDeparture records that an incarnation leaves, with its state, nil if it has none. It reports
// whether that is new.
func (f *Fleet) recordDeparture(incarnation deployment.Incarnation, s *server) bool {
	if s != nil {
		s.Draining = true
	}
	return f.departed.add(incarnation)
}

// TakeUntold returns the incarnations that have told this instance that they leave since the last call.
// The caller must tell the other instances.
func (f *Fleet) TakeUntold() []deployment.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	untold := f.untold
	f.untold = nil
	return untold
}

// RecordPeerDepartures records the incarnations that leave, as another instance has told, and returns
// those that were not known to. Of more than maxDeparted the rest is ignored.
func (f *Fleet) RecordPeerDepartures(told []deployment.Incarnation) []deployment.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []deployment.Incarnation
	for _, incarnation := range told[:min(len(told), maxDeparted)] {
		if f.recordDeparture(incarnation, f.state(incarnation)) {
			news = append(news, incarnation)
		}
	}
	return news
}

// Departures returns the incarnations that leave and are listed, or were a short time ago.
func (f *Fleet) Departures() []deployment.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var leaving []deployment.Incarnation
	for _, s := range f.servers {
		if s.Draining {
			leaving = append(leaving, s.Incarnation())
		}
	}
	for _, unlisted := range f.unlisted {
		if unlisted.Draining {
			leaving = append(leaving, unlisted.Incarnation())
		}
	}
	return leaving
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
