package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// orderTime bounds how long giving up layers takes, which waits for the requests
// that pass through them.
const orderTime = 25 * time.Second

// layers returns the layers that take new requests.
func (s *server) layers(now time.Time) deployment.LayerRange {
	if now.Before(s.orderedUntil) {
		return s.Layers.Intersect(s.ordered)
	}
	return s.Layers
}

// SetTargetLayers notes what a backend server is ordered to hold.
func (f *Fleet) SetTargetLayers(now time.Time, id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.ordered = layers
		s.orderedUntil = now.Add(orderTime)
	}
}

// ClearTargetLayers notes that an order was refused, so that the list alone tells what the
// backend server holds, unless another order came after it.
func (f *Fleet) ClearTargetLayers(id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok && s.ordered == layers {
		s.orderedUntil = time.Time{}
	}
}

// Stages returns the stages of a model service that may take new work.
func (f *Fleet) Stages(now time.Time, service *deployment.Service) []pipeline.Stage {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stages []pipeline.Stage
	others := map[deployment.Zone]int{}
	for _, s := range f.servers {
		layers := s.layers(now)
		if s.Service != service.Name || layers.Len() == 0 || !s.usable(now) || !s.hasRoom(now) {
			continue
		}
		if layers.First == 0 && !f.mayConnect(s, service) {
			continue
		}
		if _, known := others[s.Zone]; !known {
			others[s.Zone] = f.load.others(now, s.Zone)
		}
		stages = append(stages, pipeline.Stage{
			ID: s.ID, Address: s.Address, Zone: s.Zone, Layers: layers,
			Accelerator: service.Engine.Accelerators[s.Accelerator], Requests: s.inFlight + others[s.Zone], Slowdown: s.slowdown(now),
			TimeToFirstEvent: s.start.expected(now),
		})
	}
	return stages
}

// ServerStatus is a backend server of a model in a zone, with how long it has taken no
// work: it does not answer, or refuses everything.
type ServerStatus struct {
	deployment.Backend
	UnavailableFor time.Duration
	Unlisted       bool // its entry was removed, though it is well
}

// ServerStatuses returns the backend servers of a service in a zone that don't leave.
func (f *Fleet) ServerStatuses(now time.Time, service deployment.ServiceName, zone deployment.Zone) []ServerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []ServerStatus
	for _, s := range f.servers {
		if s.Service != service || s.Zone != zone || s.Draining {
			continue
		}
		m := ServerStatus{Backend: s.Backend}
		if !s.suspectSince.IsZero() {
			m.UnavailableFor = now.Sub(s.suspectSince)
		}
		if s.refusals >= refusalsInRow {
			m.UnavailableFor = max(m.UnavailableFor, now.Sub(s.refusingSince))
		}
		members = append(members, m)
	}
	return members
}

// SetLayers notes layers that a backend server has just reported.
func (f *Fleet) SetLayers(id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.Layers = layers
	}
}
