// Package ejection keeps failing backend servers out of new work for a time
// that doubles with each failure in a row.
//
// Usage: embed a State for each backend server, and put those that are out
// behind all others, never away: the last one must stay usable.
package ejection

import "time"

const (
	shortest     = 500 * time.Millisecond
	longest      = 10 * time.Second
	maxDoublings = 10
)

// State is the ejection of one backend server. The zero value is not ejected.
type State struct {
	failures int
	until    time.Time
}

// RecordFailure ejects, for longer than the last time if nothing succeeded since.
func (s *State) RecordFailure(now time.Time) {
	s.until = now.Add(min(shortest<<min(s.failures, maxDoublings), longest))
	s.failures++
}

// RecordSuccess ends the ejection.
func (s *State) RecordSuccess() {
	*s = State{}
}

// Ejected reports whether the backend server is ejected.
func (s *State) Ejected(now time.Time) bool {
	return now.Before(s.until)
}
