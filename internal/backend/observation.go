package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Observation is what an instance has seen of a stage and tells the others of its zone, so
// that each need not send requests of its own to learn it.
type Observation int

// The observations.
const (
	StageRejected  Observation = iota // it rejected a request for lack of capacity
	StageAccepted                     // it accepted a request after rejections
	StageSuspected                    // it does not respond
)

const (
	// minSuspectingPeers is how many other instances must suspect a stage before this one
	// does: one that has lost its own network suspects all stages.
	minSuspectingPeers = 2
	// suspicionAge is how long the suspicion of another instance counts.
	suspicionAge = time.Second
)

// RecordObservation records what another instance has observed of a stage.
func (f *Fleet) RecordObservation(now time.Time, from deployment.InstanceID, id deployment.BackendID, what Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return
	}
	switch what {
	case StageRejected:
		// Rejections of several instances at one moment count as one.
		if !now.Before(s.avoidUntil) {
			f.markFull(now, s)
		}
	case StageAccepted:
		s.rejections = 0
	case StageSuspected:
		if s.suspectedBy(now, from) >= minSuspectingPeers {
			s.markSuspect(now)
		}
	}
}

// suspectedBy records the suspicion of another instance, and returns how many suspect the
// stage.
func (s *server) suspectedBy(now time.Time, from deployment.InstanceID) int {
	if s.suspicions == nil {
		s.suspicions = map[deployment.InstanceID]time.Time{}
	}
	s.suspicions[from] = now
	for instance, at := range s.suspicions {
		if now.Sub(at) > suspicionAge {
			delete(s.suspicions, instance)
		}
	}
	return len(s.suspicions)
}
