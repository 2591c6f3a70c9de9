package backend

import (
	"math"
	"time"
)

const (
	// startWeight is the weight of a new time to the first event against the mean
	// of the earlier ones.
	startWeight = 0.2
	// startHalfLife is how fast what was seen loses its weight, so that a path
	// that was slow is tried again.
	startHalfLife = 1500 * time.Millisecond
)

// startTime is the time to the first event that requests saw of late. The zero
// value has seen nothing.
type startTime struct {
	mean  time.Duration
	noted time.Time
}

func (s *startTime) note(now time.Time, took time.Duration) {
	mean := s.expected(now)
	s.mean = mean + time.Duration(startWeight*float64(took-mean))
	s.noted = now
}

// expected is the mean, less the older it is.
func (s *startTime) expected(now time.Time) time.Duration {
	if s.noted.IsZero() {
		return 0
	}
	halvings := float64(now.Sub(s.noted)) / float64(startHalfLife)
	return time.Duration(float64(s.mean) * math.Exp2(-halvings))
}
