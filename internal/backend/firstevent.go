package backend

import (
	"math"
	"time"
)

const (
	// firstEventWeight is the weight of a new sample in the moving average.
	firstEventWeight = 0.2
	// firstEventHalfLife is the half-life of the average while no sample arrives. The
	// decay lets new requests use a path again that was slow.
	firstEventHalfLife = 1500 * time.Millisecond
)

// firstEventTime is a moving average of the time from sending a request to its first
// event. The zero value has no samples.
type firstEventTime struct {
	mean      time.Duration
	updatedAt time.Time
}

func (e *firstEventTime) record(now time.Time, took time.Duration) {
	mean := e.expected(now)
	e.mean = mean + time.Duration(firstEventWeight*float64(took-mean))
	e.updatedAt = now
}

// expected returns the average, decayed by the time since the last sample. It returns
// 0 if there are no samples.
func (e *firstEventTime) expected(now time.Time) time.Duration {
	if e.updatedAt.IsZero() {
		return 0
	}
	halvings := float64(now.Sub(e.updatedAt)) / float64(firstEventHalfLife)
	return time.Duration(float64(e.mean) * math.Exp2(-halvings))
}
