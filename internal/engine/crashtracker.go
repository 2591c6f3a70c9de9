package engine

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/runner"
)

// Fingerprint identifies requests that are alike: same tenant, model and
// prompt.
type Fingerprint uint64

const (
	// suspectMemory is how long a crash counts against a request.
	suspectMemory = 10 * time.Minute
	// quarantineCrashes is the number of crashed runners that convicts.
	quarantineCrashes = 2
	// A crash among massCrashes others within massWindow has another cause,
	// such as a rack without power.
	massCrashes = 4
	massWindow  = 3 * time.Second
	maxSuspects = 4096
)

type suspect struct {
	// runners holds the incarnations of the runners that crashed.
	runners map[string]bool
	last    time.Time
	// strict keeps the suspect apart to its end, because a crash that it
	// shared with other suspects could not be blamed on one of them.
	strict bool
}

// presence says how a suspect runs on a runner.
type presence struct {
	// exclusive keeps other suspects away.
	exclusive bool
}

// CrashTracker remembers which requests were running on runners that crashed. A
// request that was running at two crashes is quarantined. A suspect runs on a
// runner without other suspects where it can, so that the second crash names
// the right one; a second crash that several suspects shared convicts none.
// It is not safe for concurrent use.
type CrashTracker struct {
	requests map[Fingerprint]*suspect
	crashes  map[string]time.Time
	// busy names the suspects that run on a runner.
	busy map[runner.ID]map[Fingerprint]presence
}

// NewCrashTracker returns an empty memory.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		requests: map[Fingerprint]*suspect{}, crashes: map[string]time.Time{}, busy: map[runner.ID]map[Fingerprint]presence{},
	}
}

// RecordCrash notes that a request was running on a runner's incarnation when it
// crashed, and reports whether that was news. alone is false when other
// suspects ran there too.
func (s *CrashTracker) RecordCrash(now time.Time, request Fingerprint, incarnation string, alone bool) bool {
	s.expire(now)
	if _, ok := s.crashes[incarnation]; !ok {
		s.crashes[incarnation] = now
	}
	known, ok := s.requests[request]
	if ok && (known.runners[incarnation] || s.massCrash(now, known)) {
		return false
	}
	if ok && !alone {
		known.strict = true
		return false
	}
	if !ok {
		if len(s.requests) >= maxSuspects {
			return false
		}
		known = &suspect{runners: map[string]bool{}}
		s.requests[request] = known
	}
	known.last = now
	known.runners[incarnation] = true
	return true
}

// massCrash reports whether many runners crashed just now that the request
// was not running on.
func (s *CrashTracker) massCrash(now time.Time, known *suspect) bool {
	others := 0
	for incarnation, at := range s.crashes {
		if now.Sub(at) < massWindow && !known.runners[incarnation] {
			others++
		}
	}
	return others > massCrashes
}

// Forget forgets a request that ran to its end without a crash.
func (s *CrashTracker) Forget(request Fingerprint) {
	if known, ok := s.requests[request]; ok && len(known.runners) < quarantineCrashes {
		delete(s.requests, request)
	}
}

// IsSuspect reports whether a request was running at a crash.
func (s *CrashTracker) IsSuspect(request Fingerprint) bool {
	_, ok := s.requests[request]
	return ok
}

// IsQuarantined reports whether a request must not run again.
func (s *CrashTracker) IsQuarantined(now time.Time, request Fingerprint) bool {
	known, ok := s.requests[request]
	return ok && len(known.runners) >= quarantineCrashes && now.Sub(known.last) < suspectMemory
}

// Attributable reports whether a crash of a runner can be blamed on one suspect: it
// has not passed yet and every other one has, or no other one is there.
func (s *CrashTracker) Attributable(request Fingerprint, id runner.ID) bool {
	exclusive := s.busy[id][request].exclusive
	for other, p := range s.busy[id] {
		if other != request && (p.exclusive || !exclusive) {
			return false
		}
	}
	return true
}

// CanStart reports whether a suspect may start on a runner: no other one has it
// for itself, and a strict one finds no other at all.
func (s *CrashTracker) CanStart(request Fingerprint, id runner.ID) bool {
	if known, ok := s.requests[request]; ok && known.strict {
		_, present := s.busy[id][request]
		return len(s.busy[id]) == 0 || (present && len(s.busy[id]) == 1)
	}
	for other, p := range s.busy[id] {
		if other != request && p.exclusive {
			return false
		}
	}
	return true
}

// RecordProgress notes that a suspect made a token after its crash. What crashes
// runners does so at once as a rule, so others need not wait any longer.
func (s *CrashTracker) RecordProgress(request Fingerprint) {
	if known, ok := s.requests[request]; !ok || known.strict {
		return
	}
	for _, suspects := range s.busy {
		if _, ok := suspects[request]; ok {
			suspects[request] = presence{}
		}
	}
}

// Acquire notes that a suspect runs on the runners of a path.
func (s *CrashTracker) Acquire(request Fingerprint, path Path) {
	s.Release(request)
	for _, hop := range path {
		if s.busy[hop.Runner] == nil {
			s.busy[hop.Runner] = map[Fingerprint]presence{}
		}
		s.busy[hop.Runner][request] = presence{exclusive: true}
	}
}

// Release notes that a suspect no longer runs.
func (s *CrashTracker) Release(request Fingerprint) {
	for id, suspects := range s.busy {
		delete(suspects, request)
		if len(suspects) == 0 {
			delete(s.busy, id)
		}
	}
}

func (s *CrashTracker) expire(now time.Time) {
	for request, known := range s.requests {
		if now.Sub(known.last) >= suspectMemory {
			delete(s.requests, request)
		}
	}
	for incarnation, at := range s.crashes {
		if now.Sub(at) >= suspectMemory {
			delete(s.crashes, incarnation)
		}
	}
}
