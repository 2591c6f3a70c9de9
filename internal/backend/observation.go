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
	LinkFailed                        // this instance's connections to it fail, while those to others don't
	LinkWorks                         // in reply to LinkFailed: this instance's connections to it work
)

const (
	// minSuspectingPeers is how many other instances must suspect a stage, or the link to
	// it, before this one does: one that has lost its own network suspects all stages.
	minSuspectingPeers = 2
	// suspicionAge is how long the suspicion of another instance counts.
	suspicionAge = time.Second
)

// RecordObservation records what another instance has observed of a stage. It returns the
// observation that the other one must be told in reply, if there is one. Observations that
// it doesn't know are ignored.
func (f *Fleet) RecordObservation(now time.Time, from deployment.InstanceID, id deployment.BackendID, what Observation) (reply Observation, replies bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return 0, false
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
		s.recordPeerSuspicion(now, from)
	case LinkFailed:
		if s.link.recentContact(now) {
			return LinkWorks, true
		}
		s.link.recordPeerFailure(now, from)
	case LinkWorks:
		s.link.recordPeerContact(now)
	}
	return 0, false
}

// recordPeerSuspicion records that another instance suspects a stage.
func (s *server) recordPeerSuspicion(now time.Time, from deployment.InstanceID) {
	if s.suspicions == nil {
		s.suspicions = map[deployment.InstanceID]time.Time{}
	}
	if countSuspicion(now, s.suspicions, from) >= minSuspectingPeers {
		s.markSuspect(now)
	}
}

// countSuspicion adds the suspicion of another instance to recent ones, and returns how many
// instances share it.
func countSuspicion(now time.Time, recent map[deployment.InstanceID]time.Time, from deployment.InstanceID) int {
	recent[from] = now
	for instance, at := range recent {
		if now.Sub(at) > suspicionAge {
			delete(recent, instance)
		}
	}
	return len(recent)
}
