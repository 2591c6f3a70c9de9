package backend

import (
	"math"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// unlimitedRoom stands for a stage whose slots and memory bound nothing.
const unlimitedRoom = 1 << 20

// FreeCapacity estimates how many more requests a model service can begin, which is bounded by
// the layer that the fewest further requests can pass, and how many are in flight.
func (f *Fleet) FreeCapacity(now time.Time, service *deployment.Service) (free, inFlight int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.expire(now)
	// The room for a layer is the sum of the changes up to it.
	changes := make([]int, service.Engine.Layers+1)
	for _, s := range f.servers {
		layers := s.availableLayers(now).Intersect(deployment.LayerRange{End: service.Engine.Layers})
		if s.Service != service.Name || layers.Len() <= 0 {
			continue
		}
		requests := f.requestsOn(s)
		if layers.First == 0 {
			inFlight += requests
		}
		if s.Draining || s.outOfPaths(now) {
			continue
		}
		room := f.room(now, s, service, layers, requests)
		changes[layers.First] += room
		changes[layers.End] -= room
	}
	free, passing := unlimitedRoom, 0
	for _, change := range changes[:service.Engine.Layers] {
		passing += change
		free = min(free, passing)
	}
	return free, inFlight
}

// room estimates how many more requests a stage can begin. It is 0 exactly if the stage may
// start none (see mayStart).
func (f *Fleet) room(now time.Time, s *server, service *deployment.Service, layers deployment.LayerRange, requests int) int {
	stage := pipeline.Stage{Layers: layers, Accelerator: service.Engine.Accelerators[s.Accelerator], Requests: requests}
	if !f.mayStart(now, s, service, &stage) {
		return 0
	}
	room := unlimitedRoom
	if memory, known := pipeline.MemoryRoom(service.Engine, &stage); known {
		room = min(room, memory)
	}
	if !s.fullAt.IsZero() {
		room = min(room, int(math.Ceil(f.requestLimit(now, s)))-requests)
	}
	if layers.First == 0 && s.Slots > 0 {
		room = min(room, s.Slots-requests)
	}
	return max(1, room)
}
