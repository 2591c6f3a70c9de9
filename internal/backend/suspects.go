package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// suspectTimeout is the minimum time that a backend server stays out of new paths
	// after the last MarkSuspect. It stays out until ClearSuspect ends the suspicion. If
	// the periodic probe of a suspected stage (probeSuspect in package gateway) fails, it
	// does not call MarkSuspect again.
	suspectTimeout = 2500 * time.Millisecond
	// wrongLayersBackoff is the minimum time that a stage stays out of new paths after
	// it was found to hold other layers than expected.
	wrongLayersBackoff = 700 * time.Millisecond
)

// slowdownMaxAge is how long a reported slowdown factor is used.
const slowdownMaxAge = 4 * time.Second

func (s *server) slowdown(now time.Time) float64 {
	if now.Sub(s.slowdownAt) > slowdownMaxAge {
		return 1
	}
	return max(1, s.slowdownFactor)
}

// MarkSuspect keeps an unresponsive stage out of new paths: the stage itself, as another
// stage or a slow response has told, not only the link to it (see MarkLinkSuspect). It
// returns the stage, and whether it was not suspected before.
func (f *Fleet) MarkSuspect(now time.Time, address deployment.Address) (deployment.BackendID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.byAddress(address)
	if s == nil {
		return "", false
	}
	return s.ID, s.markSuspect(now)
}

func (s *server) markSuspect(now time.Time) bool {
	fresh := s.suspectSince.IsZero()
	if fresh {
		s.suspectSince = now
	}
	s.suspectUntil = later(s.suspectUntil, now.Add(suspectTimeout))
	s.endedAt = time.Time{}
	return fresh
}

// clearEnd ends a suspicion that stems only from the end that this instance has found.
func (s *server) clearEnd() {
	if !s.endedAt.IsZero() {
		s.clearSuspicion()
	}
}

// MarkEnded keeps a stage whose process has ended out of every place of new paths, as this
// instance has found.
func (f *Fleet) MarkEnded(now time.Time, incarnation deployment.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.running(incarnation); s != nil {
		onlyEnded := s.suspectSince.IsZero() || !s.endedAt.IsZero()
		s.markSuspect(now)
		if onlyEnded {
			s.endedAt = now
		}
	}
}

// RecordPeerEnd records that another instance has found the process of a stage ended. As with
// suspicions, the word of one instance alone does not keep a stage out of paths.
func (f *Fleet) RecordPeerEnd(now time.Time, from deployment.InstanceID, incarnation deployment.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.running(incarnation); s != nil {
		s.recordPeerSuspicion(now, from)
	}
}

// running returns the state of an incarnation, nil if it is not the one that is listed.
func (f *Fleet) running(incarnation deployment.Incarnation) *server {
	s, ok := f.servers[incarnation.Server]
	if !ok || s.Incarnation() != incarnation {
		return nil
	}
	return s
}

// RecordAnswered records that a stage has answered. It stays out of new paths while it is
// suspected, but its layers need not be loaded elsewhere.
func (f *Fleet) RecordAnswered(now time.Time, id deployment.BackendID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.answeredAt = now
	}
}

// unavailableFor returns how long a stage that is suspected, not only over this instance's link,
// has not answered.
func (s *server) unavailableFor(now time.Time) time.Duration {
	since := s.suspectedSince()
	if !s.outOfPaths(now) || s.answeredAt.After(since) {
		return 0
	}
	return now.Sub(since)
}

func (s *server) clearSuspicion() {
	s.suspectSince = time.Time{}
	s.suspectUntil = time.Time{}
	s.endedAt = time.Time{}
}

// MarkWrongLayers keeps a stage that does not hold the expected layers out of new paths
// until the backend list should show the layers that it holds. The time grows with
// consecutive rejections.
func (f *Fleet) MarkWrongLayers(now time.Time, address deployment.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byAddress(address); s != nil {
		s.recordRejection(now)
		s.avoidUntil = later(s.avoidUntil, now.Add(max(wrongLayersBackoff, rejectionBackoff(s.rejections))))
	}
}

// ClearSuspect ends the suspicion of a stage that has responded, unless the stage must
// still be kept out of new paths. It reports whether the suspicion ended.
func (f *Fleet) ClearSuspect(now time.Time, id deployment.BackendID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok || !s.suspected() || now.Before(s.suspectUntil) || now.Before(s.avoidUntil) || now.Before(s.link.avoidUntil) {
		return false
	}
	s.clearSuspicion()
	s.link.clear()
	return true
}

// RecordResponsive ends the suspicion of the stages of a path on which a stalled stream has
// gone on, which shows that they all respond. It says nothing of new connections.
func (f *Fleet) RecordResponsive(path pipeline.Path) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; ok && !s.suspectSince.IsZero() {
			s.clearSuspicion()
		}
	}
}

// RecordPassed ends the suspicions of the stages of a path that began before a time, that of the event
// before the one which has arrived: all of the stages have run since. One that began later stays, as
// events that had passed a lost stage go on to arrive for a while.
func (f *Fleet) RecordPassed(path pipeline.Path, before time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; ok && !s.suspectSince.IsZero() && s.suspectSince.Before(before) {
			s.clearSuspicion()
		}
	}
}

// RecordFirstEvent records how long a request waited for its first event at the first
// stage of its path, or has waited so far.
func (f *Fleet) RecordFirstEvent(now time.Time, id deployment.BackendID, waited time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.firstEvent.record(now, waited)
	}
}

// SuspectsOn returns the suspected stages of a path. A later stage to which only this
// instance's link fails is none.
func (f *Fleet) SuspectsOn(now time.Time, path pipeline.Path) []deployment.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var suspects []deployment.Address
	for i, id := range path.IDs {
		s, ok := f.servers[id]
		if ok && (s.outOfPaths(now) || i == 0 && s.link.suspected()) {
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
		if s.suspected() {
			suspects = append(suspects, s.Backend)
		}
	}
	return suspects
}

// SetSlowdown records the ratio of a backend server's time for a step to the expected
// time.
func (f *Fleet) SetSlowdown(now time.Time, id deployment.BackendID, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		s.slowdownFactor = factor
		s.slowdownAt = now
	}
}

// Slow returns the backend servers whose current slowdown factor reaches
// SlowdownThreshold.
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

// SlowdownThreshold is the slowdown factor from which on a backend server counts as slow.
const SlowdownThreshold = 1.5
