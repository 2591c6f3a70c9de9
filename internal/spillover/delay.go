package spillover

import "time"

const (
	// delayWindow is the time after which the least delay of reports is measured anew, so that a
	// step of a clock is forgotten. Two windows are kept.
	delayWindow = 30 * time.Second
	// maxSenders bounds the senders whose clocks are compared. Each zone has two that send at a
	// time; others follow as instances start and end.
	maxSenders = 256
)

// Delays estimates how old reports are when they arrive, from the clocks of their senders. The
// clocks differ by an unknown amount: the least difference between the clocks that a sender's
// reports have shown is taken for that of a report without delay. The zero value is ready for
// use. It is not safe for concurrent use.
type Delays struct {
	senders map[string]*clockDifference
}

// clockDifference is the least difference between a sender's clock and the own one.
type clockDifference struct {
	least, leastBefore time.Duration // in this window and the one before
	since              time.Time     // begin of this window
}

// Observe records a report with its sender's time and returns its age at the time of arrival.
func (d *Delays) Observe(now time.Time, sender string, sentAt time.Time) time.Duration {
	difference := now.Sub(sentAt)
	known, ok := d.senders[sender]
	if !ok {
		if d.senders == nil || len(d.senders) >= maxSenders {
			d.senders = map[string]*clockDifference{}
		}
		d.senders[sender] = &clockDifference{least: difference, leastBefore: difference, since: now}
		return 0
	}
	if now.Sub(known.since) >= delayWindow {
		known.leastBefore, known.least, known.since = known.least, difference, now
	}
	known.least = min(known.least, difference)
	return difference - min(known.least, known.leastBefore)
}
