package spillover

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/routing"
)

var testZones = []deployment.Zone{"a", "b", "c", "d"}

func drawState(t *rapid.T, zone deployment.Zone, maxAgeMillis int) ZoneState {
	state := ZoneState{
		Zone: zone, Age: time.Duration(rapid.IntRange(0, maxAgeMillis).Draw(t, "age")) * time.Millisecond,
		Free: Free{Requests: rapid.Float64Range(0, 40).Draw(t, "requests"), PerSecond: rapid.Float64Range(0, 40).Draw(t, "ends")},
	}
	for priority := range rapid.IntRange(0, 3).Draw(t, "priorities") {
		state.Demand = append(state.Demand, admission.PriorityDemand{
			Rank: routing.Rank{Priority: 1, Route: priority}, Waiting: rapid.IntRange(0, 30).Draw(t, "waiting"), ArrivalsPerSecond: rapid.Float64Range(0, 30).Draw(t, "arrivals"),
		})
	}
	return state
}

// spare is the capacity of a zone that its own requests up to a priority leave.
func spare(state ZoneState, priority int) float64 {
	left := state.Free.Requests + state.Free.PerSecond
	for _, demand := range state.Demand {
		if demand.Rank.Route <= priority {
			left -= Need(demand)
		}
	}
	return max(0, left)
}

// TestInstancesTogetherSendWhatIsFree lets the instances of a zone, which have the same reports, draw
// for more requests than were expected. It guards against a target that gets more than was free,
// and, with reports older than 1 s, more than half of it, and with ones older than 2 s anything.
func TestInstancesTogetherSendWhatIsFree(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		input := Input{Home: drawState(t, "a", 0)}
		for _, zone := range testZones[1:rapid.IntRange(2, len(testZones)).Draw(t, "zones")] {
			input.Others = append(input.Others, drawState(t, zone, 2500))
		}
		part := Part{Turn: rapid.Uint64().Draw(t, "turn")}
		for i := range rapid.IntRange(1, 12).Draw(t, "instances") {
			part.Instances = append(part.Instances, InstanceDemand{Instance: deployment.InstanceID(fmt.Sprint(i)), Demand: drawState(t, "a", 0).Demand})
		}
		sent := map[deployment.Zone]float64{}
		for _, instance := range slices.Clone(part.Instances) {
			part.Self = instance.Instance
			allowance := NewAllowance("a")
			for i := range 40 {
				at := now.Add(time.Duration(i) * 20 * time.Millisecond)
				allowance.Set(at, Decide(input), part)
				rank := routing.Rank{Priority: 1, Route: rapid.IntRange(0, 2).Draw(t, "priority")}
				order := allowance.Order(at, rank, rapid.Float64Range(0, 0.999).Draw(t, "draw"))
				chosen := order[rapid.IntRange(0, len(order)-1).Draw(t, "chosen")]
				allowance.Record(at, rank, chosen)
				sent[chosen]++
			}
		}
		for _, target := range input.Others {
			safe := spare(target, -1)
			switch {
			case target.Age > 2*time.Second:
				safe = 0
			case target.Age > time.Second:
				safe /= 2
			}
			if sent[target.Zone] > safe+1e-6 {
				t.Fatalf("%v requests to zone %s, where %v were safe: %+v", sent[target.Zone], target.Zone, safe, Decide(input))
			}
		}
	})
}

// TestZonesThatKnowTheSame lets all zones plan from the same reports. It guards against two zones
// that send each other the same priority, against neighbours that together send a zone more than
// was free, and against a zone's own more urgent requests that are displaced.
func TestZonesThatKnowTheSame(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		var states []ZoneState
		for _, zone := range testZones {
			states = append(states, drawState(t, zone, 0))
		}
		type crossing struct {
			from, to deployment.Zone
			priority int
		}
		sends := map[crossing]float64{}
		reserves := map[crossing]float64{}
		for i, home := range states {
			plan := Decide(Input{Home: home, Others: slices.Concat(states[:i], states[i+1:])})
			shares := map[int]float64{}
			for _, send := range plan.Sends {
				shares[send.Rank.Route] += send.Share
				assert.Assert(t, shares[send.Rank.Route] <= 1+1e-9, "more than there is, as several neighbours offer: %+v", plan)
				sends[crossing{home.Zone, send.Zone, send.Rank.Route}] = send.Requests
			}
			for zone, requests := range plan.Reserve {
				reserves[crossing{home.Zone, zone, 0}] = requests
			}
		}
		for c := range sends {
			back := sends[crossing{c.to, c.from, c.priority}] + reserves[crossing{c.to, c.from, 0}]
			assert.Assert(t, back == 0, "%v and back", c)
		}
		for c := range reserves {
			assert.Assert(t, reserves[crossing{c.to, c.from, 0}] == 0, "reserve of %v and back", c)
		}
		for _, target := range states {
			for own := -1; own < 3; own++ {
				got := 0.0
				for c, requests := range sends {
					if c.to == target.Zone && c.priority >= own {
						got += requests
					}
				}
				if left := spare(target, own); got > left+1e-6 {
					t.Fatalf("zone %s gets %v from priority %d on, its own up to it leave %v", target.Zone, got, own, left)
				}
			}
		}
	})
}

// TestCrossingMustPay guards against bytes that are spent where callers gain less than the flag
// demands, and against a part that is sent though the home zone suffices.
func TestCrossingMustPay(t *testing.T) {
	input := Input{
		Home:   ZoneState{Zone: "a", Demand: []admission.PriorityDemand{{Waiting: 20}}, Free: Free{PerSecond: 10}},
		Others: []ZoneState{{Zone: "b", Free: Free{Requests: 100}}}, Crossing: Crossing{Delay: 5 * time.Millisecond, Megabytes: 0.1},
	}
	for _, c := range []struct {
		perMegabyte time.Duration
		waiting     int
		sends       int
	}{
		{5 * time.Millisecond, 20, 1}, // 10 overflow, and wait for 500 ms on average
		{4 * time.Second, 20, 1},
		{5 * time.Second, 20, 0},
		{5 * time.Millisecond, 10, 0},
	} {
		input.CostPerMegabyte = c.perMegabyte
		input.Home.Demand[0].Waiting = c.waiting
		assert.Equal(t, len(Decide(input).Sends), c.sends, "%+v", c)
	}
}

// TestPlanLapses guards against an instance that sends by a plan which no report has renewed.
func TestPlanLapses(t *testing.T) {
	now := time.Unix(1000, 0)
	allowance := NewAllowance("a")
	plan := Plan{Sends: []Send{{Zone: "b", Requests: 3, Share: 1}}}
	demand := []admission.PriorityDemand{{Waiting: 3}}
	allowance.Set(now, plan, Part{Instances: []InstanceDemand{{Instance: "i", Demand: demand}}, Self: "i"})
	assert.DeepEqual(t, allowance.Order(now.Add(Validity), routing.Rank{}, 0.5), []deployment.Zone{"b", "a"})
	assert.DeepEqual(t, allowance.Order(now.Add(Validity+1), routing.Rank{}, 0.5), []deployment.Zone{"a"})
}

// TestLateReportIsOld guards against a report that was held back, or is from before a partition,
// and is taken for a new one, also where the clocks of the instances differ.
func TestLateReportIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, skew := range []time.Duration{0, time.Hour, -time.Hour} {
		var delays Delays
		for i := range 200 {
			at := now.Add(time.Duration(i) * 400 * time.Millisecond)
			assert.Equal(t, delays.Observe(at, "i", at.Add(skew)), time.Duration(0))
		}
		later := now.Add(81 * time.Second)
		assert.Equal(t, delays.Observe(later, "i", later.Add(skew-3*time.Second)), 3*time.Second)
	}
}

// TestInvalidReports guards against numbers of a faulty peer that make all of a zone's requests cross.
func TestInvalidReports(t *testing.T) {
	for _, number := range []float64{-1, math.NaN(), math.Inf(1), 1e9} {
		assert.Assert(t, !Free{Requests: number}.Valid() && !Free{PerSecond: number}.Valid())
		assert.Assert(t, !ValidDemand(admission.PriorityDemand{ArrivalsPerSecond: number}))
	}
	assert.Assert(t, Free{Requests: 3, PerSecond: 0.5}.Valid() && ValidDemand(admission.PriorityDemand{Waiting: 2, Work: 5000}))
}
