package backend

import "mulberryhead.org/mulberryhead/internal/deployment"

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
