package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// suspectTime is how long a backend server stays out of new paths after a
	// request was seen to wait for it.
	suspectTime = 2500 * time.Millisecond
	// misplacedTime is how long a stage stays out that holds other layers.
	misplacedTime = 700 * time.Millisecond
)

// paceTime is how long a reported pace counts.
const paceTime = 4 * time.Second

func (s *server) slowdown(now time.Time) float64 {
	if now.Sub(s.paceAt) > paceTime {
		return 1
	}
	return max(1, s.pace)
}

// MarkSuspect keeps a stage that does not answer out of new paths. It reports whether
// the stage was not suspected before.
func (f *Fleet) MarkSuspect(now time.Time, address deployment.Address) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.at(address)
	if s == nil {
		return false
	}
	fresh := s.suspectSince.IsZero()
	if fresh {
		s.suspectSince = now
	}
	s.avoidUntil = now.Add(suspectTime)
	return fresh
}

// MarkWrongLayers keeps a stage out of new paths that does not hold the layers which it
// was taken to hold, until the list should tell what it holds, and longer each time.
func (f *Fleet) MarkWrongLayers(now time.Time, address deployment.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.at(address); s != nil {
		s.refused(now)
		s.avoidUntil = later(s.avoidUntil, now.Add(max(misplacedTime, refusalPause(s.refusals))))
	}
}

// ClearSuspect ends the suspicion of a stage that has answered, once its time out of new
// paths is over. It reports whether the suspicion ended.
func (f *Fleet) ClearSuspect(now time.Time, id deployment.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok || s.suspectSince.IsZero() || now.Before(s.avoidUntil) {
		return false
	}
	s.suspectSince = time.Time{}
	return true
}

// RecordFirstEvent takes how long a request has waited for its first event, or waits yet,
// at the first stage of its path.
func (f *Fleet) RecordFirstEvent(now time.Time, id deployment.BackendID, waited time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.start.note(now, waited)
	}
}

// SuspectsOn returns the suspected stages of a path.
func (f *Fleet) SuspectsOn(path pipeline.Path) []deployment.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []deployment.Address
	for i, id := range path.IDs {
		if s, ok := f.servers[id]; ok && !s.suspectSince.IsZero() {
			suspects = append(suspects, path.Hops[i].Address)
		}
	}
	return suspects
}

// Suspects returns the suspected backend servers.
func (f *Fleet) Suspects() []deployment.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []deployment.Backend
	for _, s := range f.servers {
		if !s.suspectSince.IsZero() {
			suspects = append(suspects, s.Backend)
		}
	}
	return suspects
}

// SetSlowdown notes how many times longer than usual a backend server takes.
func (f *Fleet) SetSlowdown(now time.Time, id deployment.BackendID, pace float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.pace = pace
		s.paceAt = now
	}
}

// Slow returns the backend servers whose last reported pace was slow.
func (f *Fleet) Slow(now time.Time) []deployment.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slow []deployment.Backend
	for _, s := range f.servers {
		if s.slowdown(now) >= SlowdownThreshold {
			slow = append(slow, s.Backend)
		}
	}
	return slow
}

// SlowdownThreshold is the pace from which on a backend server counts as slow.
const SlowdownThreshold = 1.5
