package failuredetector

import "time"

const (
	// meanWeight and deviationWeight are the weights of a new interval, as in the estimate of the
	// retransmission time of TCP (RFC 6298).
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviationFactor is the number of mean deviations beyond the mean that an interval may take.
	deviationFactor = 4
	// minIntervals is the number of intervals from which on the estimate is used.
	minIntervals = 3
)

// intervals estimates the typical interval between events.
type intervals struct {
	count     int
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
}

func (i *intervals) known() bool { return i.count >= minIntervals }

func (i *intervals) add(interval time.Duration) {
	if i.count == 0 {
		i.count, i.mean, i.deviation = 1, interval, interval/2
		return
	}
	i.count++
	difference := interval - i.mean
	i.mean += time.Duration(meanWeight * float64(difference))
	i.deviation += time.Duration(deviationWeight * float64(difference.Abs()-i.deviation))
}

// bound returns the longest interval that the estimate explains, or unknown if there is none.
func (i *intervals) bound(unknown time.Duration) time.Duration {
	if !i.known() {
		return unknown
	}
	return i.mean + deviationFactor*i.deviation
}
