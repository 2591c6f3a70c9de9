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

// InstanceDemand is the demand of one instance of the home zone, as it has reported it.
type InstanceDemand struct {
	Instance deployment.InstanceID
	Demand   []admission.PriorityDemand
}

// Part is what determines an instance's part of a plan. Instances that know the same have the
// same Instances and Turn.
type Part struct {
	Instances []InstanceDemand // all of the zone, this one included
	Self      deployment.InstanceID
	// Turn changes from second to second, so that instances with less than one whole request in
	// their part take turns.
	Turn uint64
}

// Reason is why a request is sent to another zone.
type Reason string

// The reasons: the request was drawn for the plan's share, the home zone has no path for it, or
// nothing is known of other zones and the path was the cheapest of all.
const (
	ReasonShare    Reason = "share"
	ReasonNoPath   Reason = "no-path"
	ReasonCheapest Reason = "cheapest"
)

// Allowance is an instance's part of the newest plan, and what it has sent to other zones. It
// is not safe for concurrent use.
type Allowance struct {
	home      deployment.Zone
	decidedAt time.Time
	parts     []part
	reserves  map[deployment.Zone]int
	sent      []sentRequest // within the last Validity
}

// part is how many requests of a rank this instance may send to a zone in one Validity.
type part struct {
	rank     routing.Rank
	zone     deployment.Zone
	requests int
	share    float64 // of this instance's own demand
}

// sentRequest is a request that was sent to another zone.
type sentRequest struct {
	at      time.Time
	zone    deployment.Zone
	rank    routing.Rank // of the part for which it counts
	reserve bool         // it counts for the zone's reserve
}

// NewAllowance returns the Allowance of an instance in a zone, which sends nothing to others
// before Set is called.
func NewAllowance(home deployment.Zone) *Allowance {
	return &Allowance{home: home, reserves: map[deployment.Zone]int{}}
}

// Set replaces the plan. What was sent in the last Validity counts for the new one too, since
// reports don't show all of it yet.
func (a *Allowance) Set(now time.Time, plan Plan, p Part) {
	a.decidedAt = now
	a.parts = a.parts[:0]
	slices.SortFunc(p.Instances, func(x, y InstanceDemand) int { return cmp.Compare(x.Instance, y.Instance) })
	for i, send := range plan.Sends {
		need := func(demand []admission.PriorityDemand) float64 { return needOf(demand, send.Rank) }
		if requests, own := p.share(send.Requests, p.Turn+uint64(i), need); requests > 0 {
			a.parts = append(a.parts, part{
				rank: send.Rank, zone: send.Zone, requests: requests, share: min(1, float64(requests)/own),
			})
		}
	}
	clear(a.reserves)
	for zone, requests := range plan.Reserve {
		a.reserves[zone], _ = p.share(requests, p.Turn, func([]admission.PriorityDemand) float64 { return 1 })
	}
}

func needOf(demand []admission.PriorityDemand, rank routing.Rank) float64 {
	need := 0.0
	for _, d := range demand {
		if d.Rank == rank {
			need += Need(d)
		}
	}
	return need
}

// share returns this instance's whole number of the requests of the zone, and its own weight. The
// numbers of all instances add up to the whole requests of the zone: each gets those multiples
// that lie within its stretch of the sum of weights.
func (p *Part) share(requests float64, turn uint64, weight func([]admission.PriorityDemand) float64) (count int, own float64) {
	total, before := 0.0, 0.0
	for _, instance := range p.Instances {
		w := weight(instance.Demand)
		if instance.Instance == p.Self {
			before, own = total, w
		}
		total += w
	}
	if own <= 0 {
		return 0, 0
	}
	whole := math.Floor(requests)
	offset := fraction(turn)
	// Where the stretch ends at the total, the quotient is exactly 1, so that rounding loses none.
	return int(math.Floor(whole*((before+own)/total)+offset) - math.Floor(whole*(before/total)+offset)), own
}

// goldenRatio spreads the fractions of consecutive numbers evenly.
const goldenRatio = 0.6180339887498949

func fraction(turn uint64) float64 {
	_, f := math.Modf(float64(turn%(1<<20)) * goldenRatio)
	return f
}

// Order returns the zones in which to look for a path, in this order. draw is a random number from
// 0 up to 1: in so many cases as the plan's share of a zone says, that zone comes before the home
// zone. Behind the home zone come those that have room for a request without a path.
func (a *Allowance) Order(now time.Time, rank routing.Rank, draw float64) []deployment.Zone {
	a.expire(now)
	order := []deployment.Zone{a.home}
	if now.Sub(a.decidedAt) > Validity {
		return order
	}
	for _, p := range a.parts {
		if p.rank != rank || a.left(p) <= 0 {
			continue
		}
		if draw >= 0 && draw < p.share {
			order = slices.Insert(order, 0, p.zone)
		}
		draw -= p.share
	}
	return append(order, a.fallbacks(rank, order[0])...)
}

// fallbacks returns the other zones that may get a request of a rank which finds no path in
// the home zone, those with the most room first.
func (a *Allowance) fallbacks(rank routing.Rank, drawn deployment.Zone) []deployment.Zone {
	room := map[deployment.Zone]int{}
	for _, p := range a.parts {
		if p.rank.Compare(rank) >= 0 {
			room[p.zone] += max(0, a.left(p))
		}
	}
	for zone := range a.reserves {
		room[zone] += max(0, a.reserveLeft(zone))
	}
	var zones []deployment.Zone
	for zone, requests := range room {
		if requests > 0 && zone != drawn {
			zones = append(zones, zone)
		}
	}
	slices.SortFunc(zones, func(x, y deployment.Zone) int { return cmp.Or(cmp.Compare(room[y], room[x]), cmp.Compare(x, y)) })
	return zones
}

// Record counts a request that is sent to another zone: for the part of its rank, else for that
// of a less urgent one, else for the reserve. What is free for a rank is free for more urgent
// ones too.
func (a *Allowance) Record(now time.Time, rank routing.Rank, zone deployment.Zone) {
	if zone == a.home {
		return
	}
	a.expire(now)
	request := sentRequest{at: now, zone: zone, reserve: true}
	for _, p := range a.parts {
		if p.zone == zone && p.rank.Compare(rank) >= 0 && a.left(p) > 0 {
			request.rank, request.reserve = p.rank, false
			break
		}
	}
	a.sent = append(a.sent, request)
}

// left returns how many requests may still be sent for a part.
func (a *Allowance) left(p part) int {
	return p.requests - a.count(func(s sentRequest) bool { return s.zone == p.zone && s.rank == p.rank && !s.reserve })
}

// reserveLeft returns how many requests may still be sent to a zone for its reserve.
func (a *Allowance) reserveLeft(zone deployment.Zone) int {
	return a.reserves[zone] - a.count(func(s sentRequest) bool { return s.zone == zone && s.reserve })
}

func (a *Allowance) count(matches func(sentRequest) bool) int {
	count := 0
	for _, s := range a.sent {
		if matches(s) {
			count++
		}
	}
	return count
}

// expire removes what was sent longer than Validity ago.
func (a *Allowance) expire(now time.Time) {
	a.sent = slices.DeleteFunc(a.sent, func(s sentRequest) bool { return now.Sub(s.at) >= Validity })
}
