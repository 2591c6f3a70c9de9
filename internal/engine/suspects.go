package engine

import (
	"slices"
	"time"
)

// Fingerprint identifies requests that are alike: same tenant, model and
// prompt.
type Fingerprint uint64

const (
	// suspectMemory is how long a crash counts against a request.
	suspectMemory = 10 * time.Minute
	// quarantineCrashes is the number of crashed runners that convicts.
	quarantineCrashes = 2
	maxSuspects       = 4096
)

type suspect struct {
	// runners lists the incarnations of the runners that crashed.
	runners []string
	last    time.Time
}

// Suspects remembers which requests were running on runners that crashed. A
// request that was running at two crashes is quarantined. Notices of several
// instances merge in any order to the same state.
type Suspects struct {
	requests map[Fingerprint]*suspect
}

// NewSuspects returns an empty memory.
func NewSuspects() *Suspects {
	return &Suspects{requests: map[Fingerprint]*suspect{}}
}

// Crashed notes that a request was running on a runner's incarnation when it
// crashed, and reports whether that was news.
func (s *Suspects) Crashed(now time.Time, request Fingerprint, incarnation string) bool {
	s.expire(now)
	known, ok := s.requests[request]
	if !ok {
		if len(s.requests) >= maxSuspects {
			return false
		}
		known = &suspect{}
		s.requests[request] = known
	}
	known.last = now
	if slices.Contains(known.runners, incarnation) {
		return false
	}
	known.runners = append(known.runners, incarnation)
	return true
}

// Cleared forgets a request that ran to its end without a crash.
func (s *Suspects) Cleared(request Fingerprint) {
	if known, ok := s.requests[request]; ok && len(known.runners) < quarantineCrashes {
		delete(s.requests, request)
	}
}

// Suspect reports whether a request was running at a crash.
func (s *Suspects) Suspect(request Fingerprint) bool {
	_, ok := s.requests[request]
	return ok
}

// Quarantined reports whether a request must not run again.
func (s *Suspects) Quarantined(now time.Time, request Fingerprint) bool {
	known, ok := s.requests[request]
	return ok && len(known.runners) >= quarantineCrashes && now.Sub(known.last) < suspectMemory
}

func (s *Suspects) expire(now time.Time) {
	for request, known := range s.requests {
		if now.Sub(known.last) >= suspectMemory {
			delete(s.requests, request)
		}
	}
}
