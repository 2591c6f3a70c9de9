package admission

import (
	"math"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// reportMaxAge is the age from which on a report of another instance counts for nothing. Its
	// weight decreases linearly until then, so that an instance that ends is counted on less and
	// less.
	reportMaxAge = 2 * time.Second
	// Bounds on what a report may state, far above what an instance can have. Other values are
	// taken for faults and ignored.
	maxReportedWaiting  = 1_000_000
	maxReportedWork     = 1e12 // milliseconds
	maxReportedArrivals = 1e6  // per second
)

// PriorityDemand is the demand of one instance for a service in requests of one rank.
type PriorityDemand struct {
	Rank              routing.Rank
	Waiting           int     // requests that would use capacity if there were any
	Work              float64 // of these requests, in milliseconds of a server's time
	ArrivalsPerSecond float64
}

// valid reports whether an instance may have such a demand.
func (d *PriorityDemand) valid() bool {
	within := func(value, most float64) bool { return value >= 0 && value <= most } // false for NaN
	return d.Waiting >= 0 && d.Waiting <= maxReportedWaiting && within(d.Work, maxReportedWork) && within(d.ArrivalsPerSecond, maxReportedArrivals)
}

// report is the demand that another instance of the zone has reported.
type report struct {
	at     time.Time
	demand []PriorityDemand
}

// weight returns how much of a report still counts, from 1 to 0.
func (r *report) weight(now time.Time) float64 {
	age := now.Sub(r.at).Seconds() / reportMaxAge.Seconds()
	return math.Min(1, math.Max(0, 1-age))
}

// Demand returns the demand of this instance by rank, to be sent to the other instances of the
// zone. It is nil if no request has waited lately.
func (q *Queue) Demand(now time.Time) []PriorityDemand {
	short := false
	for _, state := range q.ranks {
		short = short || state.short(now)
	}
	if !short {
		return nil
	}
	return q.AllDemand(now)
}

// AllDemand returns the demand of this instance by rank, whether requests have waited or not.
func (q *Queue) AllDemand(now time.Time) []PriorityDemand {
	var demand []PriorityDemand
	for _, state := range q.ranks {
		if !state.active(now) {
			continue
		}
		d := PriorityDemand{Rank: state.rank, ArrivalsPerSecond: state.arrivalsPerSecond(now)}
		for _, r := range q.waiting {
			if r.state == state && !r.Blocked {
				d.Waiting++
				d.Work += q.workOf(r)
			}
		}
		demand = append(demand, d)
	}
	return demand
}

// SetPeerDemand stores the demand that another instance of the zone has reported. It returns how
// many entries were ignored because they are invalid or too many.
func (q *Queue) SetPeerDemand(now time.Time, instance deployment.InstanceID, demand []PriorityDemand) (ignored int) {
	var kept []PriorityDemand
	waiting := false
	for _, d := range demand {
		if !d.valid() || len(kept) == maxRanks {
			ignored++
			continue
		}
		kept = append(kept, d)
		waiting = waiting || d.Waiting > 0
	}
	for id, old := range q.reports {
		if old.weight(now) == 0 {
			delete(q.reports, id)
		}
	}
	q.view = nil
	if len(kept) == 0 {
		delete(q.reports, instance)
		return ignored
	}
	if q.reports == nil {
		q.reports = map[deployment.InstanceID]*report{}
	}
	q.reports[instance] = &report{at: now, demand: kept}
	if waiting {
		q.extendContention(now.Add(reportMaxAge))
	}
	return ignored
}

// extendContention records that more urgent requests may have to be considered until a time.
func (q *Queue) extendContention(until time.Time) {
	if until.After(q.contendedUntil) {
		q.contendedUntil = until
	}
}
