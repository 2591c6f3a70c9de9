// Package spillover decides how much of a zone's demand is sent to other zones. It addresses
// load that is unevenly distributed: one zone has more requests than its servers can take, or has
// just lost some of them, while others have free capacity.
//
// Usage: compute a plan from what is known of the zones, pass this instance's part of it to an
// Allowance, and let each request draw its order of zones:
//
//	plan := spillover.Decide(spillover.Input{Home: home, Others: others, CrossingCost: cost})
//	allowance.Set(now, plan, spillover.Part{Weights: weights, Self: self, Turn: turn})
//	order := allowance.Order(now, rank, rand.Float64())
//	allowance.Record(now, rank, zone)
//
// All instances of a zone that know the same compute the same plan, and their parts of it add up
// to no more than was free.
package spillover

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// Validity is how long a plan is valid, and the time for which it plans.
	Validity = time.Second
	// freshAge is the age up to which a report is used in full, and maxAge the one up to which
	// half of what it shows as free is used.
	freshAge       = time.Second
	maxAge         = 2 * time.Second
	staleFreeShare = 0.5
)

// Free is what the replicas of a zone can take beyond the requests in flight.
type Free struct {
	Requests  float64 // that can start now, by slots, memory and rate
	PerSecond float64 // requests that end, each of which lets another one start
}

// ZoneState is what is known of a zone for one service.
type ZoneState struct {
	Zone   deployment.Zone
	Demand []admission.PriorityDemand
	Free   Free
	Age    time.Duration // of the report
}

// Crossing is what one request costs that is served in another zone.
type Crossing struct {
	Delay     time.Duration
	Megabytes float64
}

// Input is what a plan is computed from.
type Input struct {
	Home   ZoneState
	Others []ZoneState
	// Crossing is the cost of a request to another zone, and CostPerMegabyte the delay that it
	// must save for each megabyte.
	Crossing        Crossing
	CostPerMegabyte time.Duration
}

// Send is a part of the home zone's demand that is served in another zone.
type Send struct {
	Rank     routing.Rank
	Zone     deployment.Zone
	Requests float64 // in one Validity
	Share    float64 // of the home zone's demand of the rank
}

// Plan is what the home zone sends to others in one Validity, from the most urgent rank on.
type Plan struct {
	Sends []Send
	// Reserve is the number of requests for which a zone has room beyond all that is planned, by
	// zone. It is for requests that find no path in the home zone.
	Reserve map[deployment.Zone]float64
}

// zone is a zone while a plan is computed.
type zone struct {
	ZoneState
	left     float64 // capacity that is not planned yet
	lent     float64 // capacity that is planned for other zones
	need     float64 // of the rank at hand
	overflow float64 // what of it the zone can't serve
}

// Decide computes the plan of the home zone.
func Decide(input Input) Plan {
	zones := usable(input)
	plan := Plan{Reserve: map[deployment.Zone]float64{}}
	for _, rank := range ranks(zones) {
		plan.Sends = append(plan.Sends, input.distribute(zones, rank)...)
	}
	if !input.mayUseReserve() {
		return plan
	}
	for _, z := range zones {
		if z.Zone != input.Home.Zone && z.Free.Requests >= 1 && z.offered() > 0 {
			plan.Reserve[z.Zone] = min(z.offered(), z.Free.Requests) / float64(len(input.Others))
		}
	}
	return plan
}

// distribute plans what of a rank's demand is served in which zone, and returns what the home
// zone sends. What overflows is divided in proportion to what is free, so that neither is exceeded.
func (i *Input) distribute(zones []*zone, rank routing.Rank) []Send {
	overflow, free := 0.0, 0.0
	for _, z := range zones {
		z.serve(rank)
		overflow += z.overflow
		free += z.offered()
	}
	if overflow == 0 || free == 0 {
		return nil
	}
	var sends []Send
	for _, target := range zones {
		factor := target.offered() / max(overflow, free)
		for _, source := range zones {
			requests := source.overflow * factor
			if source.Zone == i.Home.Zone && requests > 0 && i.pays(source) {
				sends = append(sends, Send{Rank: rank, Zone: target.Zone, Requests: requests, Share: requests / source.need})
			}
		}
		target.lend(overflow * factor)
	}
	return sends
}

// usable returns the zones whose reports are young enough, by name. Zones are in the same order
// for all instances, so that rounding is the same too.
func usable(input Input) []*zone {
	states := append([]ZoneState{input.Home}, input.Others...)
	var zones []*zone
	for i, state := range states {
		if i > 0 && (state.Age > maxAge || state.Zone == input.Home.Zone) {
			continue
		}
		zones = append(zones, &zone{ZoneState: state, left: state.Free.Requests + state.Free.PerSecond*Validity.Seconds()})
	}
	slices.SortFunc(zones, func(a, b *zone) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

// ranks returns the ranks for which there is demand, the most urgent first.
func ranks(zones []*zone) []routing.Rank {
	var list []routing.Rank
	for _, z := range zones {
		for _, demand := range z.Demand {
			list = append(list, demand.Rank)
		}
	}
	slices.SortFunc(list, routing.Rank.Compare)
	return slices.Compact(list)
}

// serve gives a zone's capacity to its own requests of a rank.
func (z *zone) serve(rank routing.Rank) {
	z.need = 0
	for _, demand := range z.Demand {
		if demand.Rank == rank {
			z.need += Need(demand)
		}
	}
	served := min(z.need, max(0, z.left))
	z.left -= served
	z.overflow = z.need - served
}

// offered returns the capacity that a zone offers to others. It is 0 while some of its own
// requests overflow, as nothing is left then.
func (z *zone) offered() float64 {
	if z.Age > freshAge {
		return max(0, (z.left+z.lent)*staleFreeShare-z.lent)
	}
	return max(0, z.left)
}

func (z *zone) lend(requests float64) {
	z.left -= requests
	z.lent += requests
}

// Need returns the requests of a demand that are to start within one Validity.
func Need(demand admission.PriorityDemand) float64 {
	return float64(demand.Waiting) + demand.ArrivalsPerSecond*Validity.Seconds()
}

// pays reports whether a request that overflows from the home zone saves more than it costs. In
// the home zone it would wait until the overflow is worked off, half of it on average.
func (i *Input) pays(home *zone) bool {
	return i.worth(home.overflow / 2)
}

// mayUseReserve reports whether requests may find no path in the home zone, and one that is sent
// elsewhere saves more than it costs. A zone with room never uses another's reserve, so that two
// zones don't use each other's.
func (i *Input) mayUseReserve() bool { return i.Home.Free.Requests < 1 && i.worth(1) }

// worth reports whether the time until a number of requests have ended in the home zone exceeds
// the cost of a crossing.
func (i *Input) worth(ends float64) bool {
	if i.Home.Free.PerSecond <= 0 {
		return true
	}
	saved := ends / i.Home.Free.PerSecond
	return saved > i.Crossing.Delay.Seconds()+i.CostPerMegabyte.Seconds()*i.Crossing.Megabytes
}

// maxPlausible bounds the numbers of a report. A fleet has far fewer requests.
const maxPlausible = 1e6

// Valid reports whether the numbers of a report can be used.
func (f Free) Valid() bool { return plausible(f.Requests) && plausible(f.PerSecond) }

// ValidDemand reports whether the numbers of a demand can be used.
func ValidDemand(demand admission.PriorityDemand) bool {
	return plausibleRank(demand.Rank) && plausible(float64(demand.Waiting)) && plausible(demand.ArrivalsPerSecond) &&
		demand.Work >= 0 && !math.IsInf(demand.Work, 0)
}

func plausible(number float64) bool { return number >= 0 && number <= maxPlausible }

func plausibleRank(rank routing.Rank) bool {
	return math.Abs(float64(rank.Priority)) <= maxPlausible && math.Abs(float64(rank.Route)) <= maxPlausible
}
