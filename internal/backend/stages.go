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
	var stages []pipeline.Stage
	for _, stage := range f.StagesWithFull(now, service) {
		if !stage.Full {
			stages = append(stages, stage)
		}
	}
	return stages
}

// StagesWithFull returns the stages of a model service that may get new requests and,
// marked as full, those that are expected to soon.
func (f *Fleet) StagesWithFull(now time.Time, service *deployment.Service) []pipeline.Stage {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.expire(now)
	var stages []pipeline.Stage
	for _, s := range f.servers {
		layers := s.availableLayers(now)
		if s.Service != service.Name || layers.Len() == 0 || s.Draining || s.outOfPaths(now) {
			continue
		}
		stage := pipeline.Stage{
			ID: s.ID, Address: s.Address, Zone: s.Zone, Layers: layers, Slots: s.Slots,
			Accelerator: service.Engine.Accelerators[s.Accelerator], Slowdown: s.slowdown(now),
			Requests: f.requestsOn(s), TimeToFirstEvent: s.firstEvent.expected(now),
		}
		stage.Full = !f.mayStart(now, s, service, &stage)
		stage.Unreachable = s.link.suspected()
		stage.AtLimit = !stage.Full && layers.First == 0 && !f.mayStartWithinLimit(now, s)
		stages = append(stages, stage)
	}
	return stages
}

// mayStart reports whether this instance may send one more request through a stage.
func (f *Fleet) mayStart(now time.Time, s *server, service *deployment.Service, stage *pipeline.Stage) bool {
	if now.Before(s.avoidUntil) || s.waits(now) || !f.hasCapacity(now, s, stage.Requests) || !pipeline.HasMemory(service.Engine, stage) {
		return false
	}
	if stage.Layers.First > 0 {
		return true
	}
	return f.mayConnect(s, service) && (s.Slots == 0 || stage.Requests < s.Slots)
}

// ServerStatus is a backend server of a model service, with how long it has been
// unavailable: it is unresponsive or rejects every request.
type ServerStatus struct {
	deployment.Backend
	UnavailableFor time.Duration
	Unlisted       bool // its entry was removed, but it passed the health check
	AtLimit        bool // it takes fewer requests a second than this instance wants to send
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
		status := ServerStatus{Backend: s.Backend, AtLimit: s.rate.Denied(now)}
		status.UnavailableFor = s.unavailableFor(now)
		if s.rejections >= rejectingThreshold {
			status.UnavailableFor = max(status.UnavailableFor, now.Sub(s.rejectingSince))
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// SetLayers records the layers that a backend server has just reported. A range beyond those of its
// service is ignored.
func (f *Fleet) SetLayers(id deployment.BackendID, layers deployment.LayerRange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok && f.holdable(s.Service, layers) {
		s.Layers = layers
	}
}
