package router

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	pauseCheckInterval = 250 * time.Millisecond
	// minPause is a pause that load does not explain: the process or its machine was
	// stopped.
	minPause = time.Second
)

// pauseDetector detects that the process has not run for a while. No other log line
// explains why requests fail at the end of such a pause.
type pauseDetector struct {
	last time.Time
}

// tick records the time of a check. It returns the time since the previous check, and
// whether that is a pause of at least minPause. On the first call there is no previous
// check: the time is meaningless and the bool is false.
func (d *pauseDetector) tick(now time.Time) (time.Duration, bool) {
	pause := now.Sub(d.last)
	first := d.last.IsZero()
	d.last = now
	return pause, !first && pause >= minPause
}

// logPauses logs each pause of the process until ctx ends.
func (r *Router) logPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	var d pauseDetector
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if pause, long := d.tick(time.Now()); long {
			r.logger.Warn("process stood still", zap.Duration("for-ms", pause))
		}
	}
}
