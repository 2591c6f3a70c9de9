package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// departure is a backend server whose entry was removed, with what is known of it: the
// requests under way may go on.
type departure struct {
	*server
	at time.Time
}

// depart notes that an entry was removed of which nothing told that its backend server
// leaves or is lost. The entry may have lapsed because the list was written late.
func (f *Fleet) depart(now time.Time, s *server) {
	if s.Draining || !s.suspectSince.IsZero() || s.refusals >= refusalsInRow {
		return
	}
	s.missingSince = now
	f.departed[s.ID] = departure{server: s, at: now}
}

// comeBack takes a departed backend server in again, with what is known of it.
func (f *Fleet) comeBack(id deployment.BackendID) {
	departed, ok := f.departed[id]
	if !ok {
		return
	}
	f.servers[id] = departed.server
	delete(f.departed, id)
}

// RecentlyUnlisted returns the backend servers of a service in a zone whose entries were
// removed a short time ago and may come back. They get no work.
func (f *Fleet) RecentlyUnlisted(now time.Time, service deployment.ServiceName, zone deployment.Zone) []deployment.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []deployment.Backend
	for id, departed := range f.departed {
		if now.Sub(departed.at) >= missingGrace {
			delete(f.departed, id)
			continue
		}
		if departed.Service == service && departed.Zone == zone {
			list = append(list, departed.Backend)
		}
	}
	return list
}
