package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// departure is a backend server whose entry was removed.
type departure struct {
	deployment.Backend
	at time.Time
}

// depart notes that an entry was removed of which nothing told that its backend server
// leaves or is lost. The entry may have lapsed because the list was written late.
func (f *Fleet) depart(now time.Time, s *server) {
	if s.Draining || !s.suspectSince.IsZero() || s.refusals >= refusalsInRow {
		return
	}
	f.departed[s.ID] = departure{Backend: s.Backend, at: now}
}

// Departed returns the backend servers of a service in a zone whose entries were
// removed a short time ago and may come back. They get no work.
func (f *Fleet) Departed(now time.Time, service deployment.ServiceName, zone deployment.Zone) []deployment.Backend {
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
