package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// fullBackoff is how long a stage at capacity gets no new requests, and the
	// minimum time between two reductions of its request limit.
	fullBackoff = 150 * time.Millisecond
	// rejectingThreshold is the number of consecutive rejections from which on a
	// stage is assumed to reject every request.
	rejectingThreshold = 4
	// maxDoublings keeps the shift from overflowing. It does not limit the backoff,
	// since that many doublings exceed maxRejectionBackoff.
	maxDoublings        = 6
	maxRejectionBackoff = 5 * time.Second
	// fullLimitFactor is the fraction of its in-flight requests to which a stage at
	// capacity is limited.
	fullLimitFactor = 0.95
	// limitGrowthPerSecond is by how many requests of each instance the limit of a stage
	// grows in each second since the stage was at capacity.
	limitGrowthPerSecond = 1.0
)

// MarkFull records that a stage rejected a request because it is at capacity. The
// stage gets no new requests for a short time. After that, this instance sends it one
// only while all instances together have slightly fewer on it than were in flight, and
// raises that limit over time. It returns the stage, and false if none is known at the
// address.
func (f *Fleet) MarkFull(now time.Time, address deployment.Address) (deployment.BackendID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress(address)
	if s == nil {
		return "", false
	}
	f.markFull(now, s)
	return s.ID, true
}

func (f *Fleet) markFull(now time.Time, s *server) {
	s.recordRejection(now)
	s.avoidUntil = later(s.avoidUntil, now.Add(rejectionBackoff(s.rejections)))
	if now.Sub(s.fullAt) >= fullBackoff {
		s.fullAt = now
		s.limit = max(1, float64(f.requestsOn(s))*fullLimitFactor)
	}
}

func (s *server) recordRejection(now time.Time) {
	s.rejections++
	if s.rejections == 1 {
		s.rejectingSince = now
	}
}

// RejectedOnce returns the backend server at an address if it has rejected one request, and none
// before since it last accepted one.
func (f *Fleet) RejectedOnce(address deployment.Address) (deployment.Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress(address)
	if s == nil || s.rejections != 1 {
		return deployment.Backend{}, false
	}
	return s.Backend, true
}

// rejectionBackoff returns how long a stage gets no new requests after a number of
// consecutive rejections. A stage at capacity still accepts some requests in
// between. A stage that has started to drain, but whose entry in the backend list
// does not show it yet, accepts none.
func rejectionBackoff(rejections int) time.Duration {
	if rejections < rejectingThreshold {
		return fullBackoff
	}
	return min(fullBackoff<<min(rejections-rejectingThreshold+1, maxDoublings), maxRejectionBackoff)
}

// RecordAccepted records that the stages of a path have accepted a request. It returns
// those that had rejected the ones before.
func (f *Fleet) RecordAccepted(path pipeline.Path) []deployment.BackendID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var again []deployment.BackendID
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; ok && s.rejections > 0 {
			s.rejections = 0
			again = append(again, id)
		}
	}
	return again
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasCapacity reports whether a stage with some requests of all instances may get one more.
func (f *Fleet) hasCapacity(now time.Time, s *server, requests int) bool {
	if s.fullAt.IsZero() {
		return true
	}
	return float64(requests) < f.requestLimit(now, s)
}

// requestLimit returns the limit on the requests of all instances at a stage that has rejected
// one. It grows from the time of the rejection on.
func (f *Fleet) requestLimit(now time.Time, s *server) float64 {
	return s.limit + limitGrowthPerSecond*float64(f.load.instancesInZone)*now.Sub(s.fullAt).Seconds()
}

// requestsOn estimates the requests of all instances on a stage.
func (f *Fleet) requestsOn(s *server) int {
	return s.inFlight + f.load.othersOn(s.ID, s.inFlight)
}
