package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// unlistedServer is a backend server whose entry was removed from the backend list. Its
// state is kept because its in-flight requests may continue.
type unlistedServer struct {
	*server
	removedAt time.Time
}

// recordUnlisted keeps a backend server whose entry was removed without a sign that it
// was draining or had failed. The entry may have expired because the list was written
// late.
func (f *Fleet) recordUnlisted(now time.Time, s *server) {
	if s.Draining || s.suspected() || s.rejections >= rejectingThreshold {
		return
	}
	s.missingSince = now
	f.unlisted[s.ID] = unlistedServer{server: s, removedAt: now}
}

// restoreUnlisted adds an unlisted backend server to the fleet again, with its state.
func (f *Fleet) restoreUnlisted(id deployment.BackendID) {
	unlisted, ok := f.unlisted[id]
	if !ok {
		return
	}
	f.servers[id] = unlisted.server
	delete(f.unlisted, id)
}

// RecentlyUnlisted returns the backend servers of a service in a zone whose entries were
// removed a short time ago and may reappear. They get no new requests.
func (f *Fleet) RecentlyUnlisted(now time.Time, service deployment.ServiceName, zone deployment.Zone) []deployment.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []deployment.Backend
	for id, unlisted := range f.unlisted {
		if now.Sub(unlisted.removedAt) >= missingGrace {
			delete(f.unlisted, id)
			continue
		}
		if unlisted.Service == service && unlisted.Zone == zone {
			list = append(list, unlisted.Backend)
		}
	}
	return list
}

// Listing tells what the backend list says of an incarnation of a backend server.
type Listing int

// The listings. A Gone incarnation has no entry any more, or another one has its id or address: one that
// has not announced its shutdown has ended.
const (
	Listed Listing = iota
	Leaving
	Gone
)

func (l Listing) String() string { return [...]string{"listed", "leaving", "gone"}[l] }

// ListingOf returns what the backend list says of an incarnation. One whose entry was removed counts as
// Listed for missingGrace, unless its id or address is taken.
func (f *Fleet) ListingOf(now time.Time, incarnation deployment.Incarnation) Listing {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch unlisted, ok := f.unlisted[incarnation.Server]; {
	case f.departed.has(incarnation):
		return Leaving
	case f.running(incarnation) != nil:
		return Listed
	case ok && unlisted.Incarnation() == incarnation && now.Sub(unlisted.removedAt) < missingGrace && f.byAddress(unlisted.Address) == nil:
		return Listed
	}
	return Gone
}

func (f *Fleet) unlistedByAddress(address deployment.Address) *server {
	for _, unlisted := range f.unlisted {
		if unlisted.Address == address {
			return unlisted.server
		}
	}
	return nil
}
