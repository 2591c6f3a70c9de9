package gateway

import (
	"time"

	"go.uber.org/zap"
)

// stallRecord is what the log tells of a stream that paused, once it goes on.
type stallRecord struct {
	lastEvent time.Time
	decided   time.Time // when the stall was noticed
	moved     time.Time // when another path was taken, zero if none was
	how       string    // it goes on
}

// recordStall records that a stream waits since its last event. An earlier stall from which it has
// not gone on yet stays on record.
func (c *call) recordStall(lastEvent time.Time, how string) {
	c.stall.CompareAndSwap(nil, &stallRecord{lastEvent: lastEvent, decided: time.Now(), how: how})
}

// markMoved records that a stalled stream has got another path.
func (c *call) markMoved(how string) {
	if known := c.stall.Load(); known != nil {
		c.stall.CompareAndSwap(known, &stallRecord{lastEvent: known.lastEvent, decided: known.decided, moved: time.Now(), how: how})
	}
}

// logContinued logs the first event after a stall.
func (c *call) logContinued(logger *zap.Logger, now time.Time) {
	known := c.stall.Load()
	if known == nil || !c.stall.CompareAndSwap(known, nil) {
		return
	}
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("how", known.how), zap.Duration("pause-ms", now.Sub(known.lastEvent)),
		zap.Duration("since-decision-ms", now.Sub(known.decided)),
	}
	if !known.moved.IsZero() {
		fields = append(fields, zap.Duration("since-move-ms", now.Sub(known.moved)))
	}
	logger.Info("stream continued", fields...)
}
