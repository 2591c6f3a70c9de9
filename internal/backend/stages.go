package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// layerReleaseTimeout is how long the target layers of a placement order override the
// backend list. A backend server releases layers only after the last request has passed
// through them.
const layerReleaseTimeout = 25 * time.Second

// availableLayers returns the layers that accept new requests.
func (s *server) availableLayers(now time.Time) deployment.LayerRange {
	if now.Before(s.targetUntil) {
		return s.Layers.Intersect(s.target)
	}
	return s.Layers
}

// SetTargetLayers records the layers of a placement order for a backend server.
func (f *Fleet) SetTargetLayers(now time.Time, id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.target = layers
		s.targetUntil = now.Add(layerReleaseTimeout)
	}
}

// ClearTargetLayers records that a placement order was rejected, so that only the
// backend list determines which layers the backend server holds. It does nothing if a
// later order set other layers.
func (f *Fleet) ClearTargetLayers(id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok && s.target == layers {
		s.targetUntil = time.Time{}
	}
}

// Stages returns the stages of a model service that may get new requests.
func (f *Fleet) Stages(now time.Time, service *deployment.Service) []pipeline.Stage {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stages []pipeline.Stage
	peerRequests := map[deployment.Zone]int{}
	for _, s := range f.servers {
		layers := s.availableLayers(now)
		if s.Service != service.Name || layers.Len() == 0 || !s.usable(now) || !s.hasCapacity(now) {
			continue
		}
		if layers.First == 0 && !f.mayConnect(s, service) {
			continue
		}
		if _, known := peerRequests[s.Zone]; !known {
			peerRequests[s.Zone] = f.load.peerRequests(now, s.Zone)
		}
		stages = append(stages, pipeline.Stage{
			ID: s.ID, Address: s.Address, Zone: s.Zone, Layers: layers,
			Accelerator: service.Engine.Accelerators[s.Accelerator], Requests: s.inFlight + peerRequests[s.Zone], Slowdown: s.slowdown(now),
			TimeToFirstEvent: s.firstEvent.expected(now),
		})
	}
	return stages
}

// ServerStatus is a backend server of a model service, with how long it has been
// unavailable: it is unresponsive or rejects every request.
type ServerStatus struct {
	deployment.Backend
	UnavailableFor time.Duration
	Unlisted       bool // its entry was removed, but it passed the health check
}

// ServerStatuses returns the backend servers of a service in a zone that are not draining.
func (f *Fleet) ServerStatuses(now time.Time, service deployment.ServiceName, zone deployment.Zone) []ServerStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	var statuses []ServerStatus
	for _, s := range f.servers {
		if s.Service != service || s.Zone != zone || s.Draining {
			continue
		}
		status := ServerStatus{Backend: s.Backend}
		if !s.suspectSince.IsZero() {
			status.UnavailableFor = now.Sub(s.suspectSince)
		}
		if s.rejections >= rejectingThreshold {
			status.UnavailableFor = max(status.UnavailableFor, now.Sub(s.rejectingSince))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// SetLayers records the layers that a backend server has just reported.
func (f *Fleet) SetLayers(id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.Layers = layers
	}
}
