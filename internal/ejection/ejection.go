// Package ejection tracks which backend servers are ejected after failures. The
// ejection time doubles with each consecutive failure.
//
// Usage: keep a State for each backend server, record the results of its requests, and
// rank ejected servers after all others:
//
//	state.RecordFailure(now)
//	if state.Ejected(now) { ... }
//
// Do not exclude ejected servers: the last one must stay usable.
package ejection

import "time"

const (
	minDuration = 500 * time.Millisecond
	maxDuration = 10 * time.Second
	// maxDoublings keeps the shift from overflowing. It does not limit the ejection time,
	// since that many doublings exceed maxDuration.
	maxDoublings = 10
)

// State is the ejection state of one backend server. The zero value is not ejected. It
// is not safe for concurrent use.
type State struct {
	failures int // consecutive
	until    time.Time
}

// RecordFailure ejects the backend server. The time doubles with each consecutive failure,
// up to a maximum.
func (s *State) RecordFailure(now time.Time) {
	s.until = now.Add(min(minDuration<<min(s.failures, maxDoublings), maxDuration))
	s.failures++
}

// RecordSuccess ends the ejection and resets the count of failures.
func (s *State) RecordSuccess() {
	*s = State{}
}

// Ejected reports whether the backend server is ejected.
func (s *State) Ejected(now time.Time) bool {
	return now.Before(s.until)
}
