package router

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	standstillEvery = 250 * time.Millisecond
	// standstillFrom is a pause that no load explains: the process was stopped, or
	// its machine was.
	standstillFrom = time.Second
)

// standstill notices that the process has not run for a while. Requests that fail at
// its end are not explained by any other line.
type standstill struct {
	last time.Time
}

// tick takes the time of one look. It reports the time since the last one if that was
// too long ago.
func (s *standstill) tick(now time.Time) (time.Duration, bool) {
	pause := now.Sub(s.last)
	first := s.last.IsZero()
	s.last = now
	return pause, !first && pause >= standstillFrom
}

// noteStandstills logs each standstill until ctx ends.
func (r *Router) noteStandstills(ctx context.Context) {
	ticker := time.NewTicker(standstillEvery)
	defer ticker.Stop()
	var s standstill
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if pause, long := s.tick(time.Now()); long {
			r.logger.Warn("process stood still", zap.Duration("for-ms", pause))
		}
	}
}
