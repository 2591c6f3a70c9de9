package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

const (
	// fullPause is how long a stage without room stays out, and the shortest time
	// between two cuts of what it gets.
	fullPause = 150 * time.Millisecond
	// refusalsInRow is the number of refusals in a row from which on a stage is
	// taken to refuse everything.
	refusalsInRow  = 4
	maxDoublings   = 6
	longestRefusal = 5 * time.Second
	// fullShare is the part of its requests that a stage without room keeps.
	fullShare = 0.95
	// fullGrowth is how many more requests a stage gets with each second since it
	// had no room.
	fullGrowth = 1.0
)

// MarkFull notes that a stage has no room for another request. It gets no more of them
// than it had then, and one more from time to time.
func (f *Fleet) MarkFull(now time.Time, address deployment.Address) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.at(address)
	if s == nil {
		return
	}
	s.refused(now)
	s.avoidUntil = later(s.avoidUntil, now.Add(refusalPause(s.refusals)))
	if now.Sub(s.fullAt) >= fullPause {
		s.fullAt = now
		s.limit = max(1, float64(s.inFlight)*fullShare)
	}
}

// refused counts a refusal.
func (s *server) refused(now time.Time) {
	s.refusals++
	if s.refusals == 1 {
		s.refusingSince = now
	}
}

// refusalPause is how long a stage stays out after so many refusals in a row. A
// stage that is merely full takes some requests in between; one that has begun to
// leave, and whose entry does not tell yet, takes none.
func refusalPause(refusals int) time.Duration {
	if refusals < refusalsInRow {
		return fullPause
	}
	return min(fullPause<<min(refusals-refusalsInRow+1, maxDoublings), longestRefusal)
}

// RecordAccepted notes that the stages of a path have accepted a request.
func (f *Fleet) RecordAccepted(path pipeline.Path) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range path.IDs {
		if s, ok := f.servers[id]; ok {
			s.refusals = 0
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hasRoom tells whether a stage may get one more request of this instance.
func (s *server) hasRoom(now time.Time) bool {
	if s.fullAt.IsZero() {
		return true
	}
	return float64(s.inFlight) < s.limit+fullGrowth*now.Sub(s.fullAt).Seconds()
}
