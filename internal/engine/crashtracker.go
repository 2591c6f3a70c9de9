package engine

import (
	"maps"
	"time"

	"mulberryhead.org/mulberryhead/internal/runner"
)

// Fingerprint is a hash that identifies equal requests of a team, for crash tracking.
// FingerprintOf computes it from the team, the model and the prompt. The gateway
// computes its own from the method, host, URI, team and body of a request.
type Fingerprint uint64

const (
	// suspectTTL is how long a quarantine lasts after the last crash that was counted
	// against the request. The first RecordCrash, of any request, after that time
	// removes a suspect, quarantined or not; until then IsSuspect returns true.
	// Crash times expire the same way.
	suspectTTL = 10 * time.Minute
	// quarantineCrashes is the number of crashed runners at which a request is
	// quarantined.
	quarantineCrashes = 2
	// A crash that coincides, within massCrashWindow, with crashes of
	// massCrashThreshold other runners has another cause, such as a rack that
	// lost power, and does not count against a suspect. With the crash itself,
	// that is more than massCrashThreshold crashes.
	massCrashThreshold = 4
	massCrashWindow    = 3 * time.Second
	maxSuspects        = 4096
)

type suspect struct {
	// incarnations holds the incarnations of the crashed runners.
	incarnations map[string]bool
	lastCrash    time.Time
	// isolated is set when the suspect shared a crash with other suspects and
	// the crash could not be attributed to one of them. From then on, CanStart
	// allows it only runners without other suspects, and RecordProgress leaves it
	// exclusive. A suspect that has waited for isolationTimeout starts regardless
	// of CanStart.
	isolated bool
}

// occupancy is the state of a suspect on a runner.
type occupancy struct {
	// exclusive makes CanStart allow no other suspect on the runner. Another one
	// may still start there after its isolationTimeout.
	exclusive bool
}

// CrashTracker records which requests were running on runners that crashed. Such a
// request is a suspect; after a second crash it is quarantined. Where possible, a
// suspect starts only on runners where no other suspect is exclusive (see CanStart),
// so that a second crash can be attributed to one request. A second crash that can't
// be attributed to one of several suspects quarantines none of them. The attribution
// has a known fault, see checkCrash. A CrashTracker is not safe for concurrent use.
type CrashTracker struct {
	suspects   map[Fingerprint]*suspect
	crashTimes map[string]time.Time
	// running holds the suspects that run on each runner.
	running map[runner.ID]map[Fingerprint]occupancy
	// crashed holds the suspects that ran on each crashed incarnation when its crash
	// was first noticed. Sessions notice a crash one after the other, and leave the
	// runner as soon as they have.
	crashed map[string]map[Fingerprint]occupancy
}

// NewCrashTracker returns a tracker without recorded crashes.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		suspects: map[Fingerprint]*suspect{}, crashTimes: map[string]time.Time{},
		running: map[runner.ID]map[Fingerprint]occupancy{}, crashed: map[string]map[Fingerprint]occupancy{},
	}
}

// RecordCrash records that a request was running on a runner's incarnation when it
// crashed, and reports whether it counted the crash against the request. A request's
// first crash counts even if other suspects shared it. A later one does not count
// if it is part of a mass crash; if it is not attributable to the request, it does
// not count either, but isolates the suspect. No new suspect is recorded beyond
// maxSuspects.
func (t *CrashTracker) RecordCrash(now time.Time, request Fingerprint, incarnation string, attributable bool) bool {
	t.expire(now)
	if _, ok := t.crashTimes[incarnation]; !ok {
		t.crashTimes[incarnation] = now
	}
	entry, ok := t.suspects[request]
	if ok && (entry.incarnations[incarnation] || t.massCrash(now, entry)) {
		return false
	}
	if ok && !attributable {
		entry.isolated = true
		return false
	}
	if !ok {
		if len(t.suspects) >= maxSuspects {
			return false
		}
		entry = &suspect{incarnations: map[string]bool{}}
		t.suspects[request] = entry
	}
	entry.lastCrash = now
	entry.incarnations[incarnation] = true
	return true
}

// massCrash reports whether more than massCrashThreshold runners crashed within
// massCrashWindow, not counting the earlier crashes recorded for the suspect. The
// count includes the crash that is being recorded.
func (t *CrashTracker) massCrash(now time.Time, entry *suspect) bool {
	crashes := 0
	for incarnation, at := range t.crashTimes {
		if now.Sub(at) < massCrashWindow && !entry.incarnations[incarnation] {
			crashes++
		}
	}
	return crashes > massCrashThreshold
}

// Forget removes a request that finished, unless it reached quarantineCrashes.
func (t *CrashTracker) Forget(request Fingerprint) {
	if entry, ok := t.suspects[request]; ok && len(entry.incarnations) < quarantineCrashes {
		delete(t.suspects, request)
	}
}

// IsSuspect reports whether a crash is recorded for a request.
func (t *CrashTracker) IsSuspect(request Fingerprint) bool {
	_, ok := t.suspects[request]
	return ok
}

// IsQuarantined reports whether a request must not run again.
func (t *CrashTracker) IsQuarantined(now time.Time, request Fingerprint) bool {
	entry, ok := t.suspects[request]
	return ok && len(entry.incarnations) >= quarantineCrashes && now.Sub(entry.lastCrash) < suspectTTL
}

// Attributable reports whether the crash of a runner's incarnation can be attributed to
// a suspect: no other suspect ran there, or this one was exclusive there and no other
// was. All calls for one incarnation are answered from the state at the first of them.
func (t *CrashTracker) Attributable(request Fingerprint, id runner.ID, incarnation string) bool {
	suspects, ok := t.crashed[incarnation]
	if !ok {
		suspects = maps.Clone(t.running[id])
		t.crashed[incarnation] = suspects
	}
	exclusive := suspects[request].exclusive
	for other, p := range suspects {
		if other != request && (p.exclusive || !exclusive) {
			return false
		}
	}
	return true
}

// CanStart reports whether a suspect may start on a runner: no other suspect is
// exclusive there or, if the suspect is isolated, no other suspect runs there.
func (t *CrashTracker) CanStart(request Fingerprint, id runner.ID) bool {
	if entry, ok := t.suspects[request]; ok && entry.isolated {
		_, present := t.running[id][request]
		return len(t.running[id]) == 0 || (present && len(t.running[id]) == 1)
	}
	for other, p := range t.running[id] {
		if other != request && p.exclusive {
			return false
		}
	}
	return true
}

// RecordProgress records that a suspect emitted a token, and lets other suspects
// share its runners. A request that crashes runners usually does so before its next
// token. An isolated suspect stays exclusive.
func (t *CrashTracker) RecordProgress(request Fingerprint) {
	if entry, ok := t.suspects[request]; !ok || entry.isolated {
		return
	}
	for _, suspects := range t.running {
		if _, ok := suspects[request]; ok {
			suspects[request] = occupancy{}
		}
	}
}

// Acquire records that a suspect starts on the runners of a path. It is exclusive
// there until RecordProgress or, if it is isolated, until Release.
func (t *CrashTracker) Acquire(request Fingerprint, path Path) {
	t.Release(request)
	for _, hop := range path {
		if t.running[hop.Runner] == nil {
			t.running[hop.Runner] = map[Fingerprint]occupancy{}
		}
		t.running[hop.Runner][request] = occupancy{exclusive: true}
	}
}

// Release records that a suspect has left its runners.
func (t *CrashTracker) Release(request Fingerprint) {
	for id, suspects := range t.running {
		delete(suspects, request)
		if len(suspects) == 0 {
			delete(t.running, id)
		}
	}
}

func (t *CrashTracker) expire(now time.Time) {
	for request, entry := range t.suspects {
		if now.Sub(entry.lastCrash) >= suspectTTL {
			delete(t.suspects, request)
		}
	}
	for incarnation, at := range t.crashTimes {
		if now.Sub(at) >= suspectTTL {
			delete(t.crashTimes, incarnation)
			delete(t.crashed, incarnation)
		}
	}
}
