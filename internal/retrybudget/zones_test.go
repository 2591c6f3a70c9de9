package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

const (
	simTick     = 100 * time.Millisecond
	simRegular  = 4 // ticks between regular reports
	simRelays   = 2 // bridges of a zone to another one
	simLateness = maxReportDelay
)

// simInstance is an instance of a simulated fleet.
type simInstance struct {
	id       deployment.InstanceID
	zone     deployment.Zone
	budget   *WindowBudget
	exchange *Exchange
}

// simFleet simulates instances in zones that report to one another over links on which each
// message may be lost, repeated, and late by up to simLateness on each hop.
type simFleet struct {
	random    *rand.Rand
	bounds    Bounds
	now       time.Time
	ticks     int
	instances []*simInstance
	zoneCount int
	pending   []simMessage
	cutOff    deployment.Zone
	faults    bool
	retries   []time.Time
	// requests are the times of each instance's requests, and mostRequests its largest counts
	// within a window that ended within the last window: by these its retries were allowed.
	requests     map[*simInstance][]time.Time
	mostRequests map[*simInstance][]int
}

type simMessage struct {
	at      time.Time
	deliver func()
}

func newSimFleet(random *rand.Rand, bounds Bounds, zones, perZone int) *simFleet {
	f := &simFleet{random: random, bounds: bounds, now: time.Unix(1000, 0), zoneCount: zones, requests: map[*simInstance][]time.Time{}, mostRequests: map[*simInstance][]int{}}
	for z := range zones {
		for i := range perZone {
			f.instances = append(f.instances, &simInstance{
				id: deployment.InstanceID(fmt.Sprintf("i-%d-%d", z, i)), zone: deployment.Zone(fmt.Sprintf("z-%d", z)),
			})
		}
	}
	for _, instance := range f.instances {
		f.start(instance, f.now.Add(-time.Hour))
	}
	return f
}

func (f *simFleet) start(instance *simInstance, at time.Time) {
	instance.budget = NewWindowBudget(at, f.bounds, len(f.instances))
	instance.exchange = NewExchange(instance.budget, instance.id, instance.zone)
	instance.exchange.SetCounts(len(f.instances), len(f.instances)/f.zoneCount)
}

// send delivers a message between two zones now or, with faults, later, not at all or twice.
func (f *simFleet) send(from, to deployment.Zone, deliver func()) {
	if from != to && (f.cutOff == from || f.cutOff == to) {
		return
	}
	copies := 1
	if f.faults {
		copies = []int{0, 1, 1, 1, 2}[f.random.IntN(5)]
	}
	for range copies {
		delay := time.Duration(0)
		if f.faults && f.random.IntN(3) == 0 {
			delay = time.Duration(f.random.Int64N(int64(simLateness)))
		}
		f.pending = append(f.pending, simMessage{at: f.now.Add(delay), deliver: deliver})
	}
}

// deliverDue delivers the messages that have arrived, and those that they cause at once.
func (f *simFleet) deliverDue() {
	due := true
	for due {
		due = false
		waiting := f.pending
		f.pending = nil
		for _, message := range waiting {
			if message.at.After(f.now) {
				f.pending = append(f.pending, message)
				continue
			}
			due = true
			message.deliver()
		}
	}
}

// step passes a tick: busy instances retry as often as they may, and all report.
func (f *simFleet) step(busy func(*simInstance) bool) {
	f.now = f.now.Add(simTick)
	f.ticks++
	f.deliverDue()
	for _, instance := range f.instances {
		instance.exchange.Update(f.now)
		if busy(instance) {
			for instance.budget.Take(f.now, true) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
	for i, instance := range f.instances {
		f.report(i, instance)
	}
	f.deliverDue()
}

func (f *simFleet) report(number int, instance *simInstance) {
	regular := (f.ticks+number)%simRegular == 0
	if regular || instance.exchange.ReportDue(f.now) {
		report := instance.exchange.Report(f.now)
		f.broadcast(instance, func(to *simInstance) { to.exchange.SetPeer(f.now, instance.id, report) })
	}
	perZone := len(f.instances) / f.zoneCount
	if number%perZone >= simRelays {
		return
	}
	for z := range f.zoneCount {
		first := f.instances[z*perZone]
		if first.zone == instance.zone || !regular && !instance.exchange.ZoneReportDue(f.now, first.zone) {
			continue
		}
		report := instance.exchange.ZoneReport(f.now, first.zone)
		f.send(instance.zone, first.zone, func() {
			first.exchange.SetZone(f.now, instance.zone, report)
			f.broadcast(first, func(to *simInstance) { to.exchange.SetZone(f.now, instance.zone, report) })
		})
	}
}

func (f *simFleet) request(instance *simInstance) {
	instance.budget.RecordRequest(f.now)
	f.requests[instance] = append(f.requests[instance], f.now)
}

// countRequests returns the number of requests by which the retries of the window that ends now were
// allowed: of each instance those of the window that ended at one of its retries.
func (f *simFleet) countRequests() int {
	sum := 0
	for _, instance := range f.instances {
		counts := f.mostRequests[instance]
		counts = counts[max(0, len(counts)+1-int(f.bounds.Window/simTick)):]
		counts = append(counts, within(f.requests[instance], f.now, f.bounds.Window))
		f.mostRequests[instance] = counts
		sum += slices.Max(counts)
	}
	return sum
}

func (f *simFleet) broadcast(from *simInstance, deliver func(to *simInstance)) {
	for _, to := range f.instances {
		if to.zone == from.zone && to != from {
			f.send(from.zone, to.zone, func() { deliver(to) })
		}
	}
}

// TestZonesTogetherStayWithinBudget guards against retries beyond the bound when instances that were idle and
// have lent their parts become busy, when reports are lost, repeated or late by 3 s on each hop,
// when a zone is cut off for a while, and when instances restart.
func TestZonesTogetherStayWithinBudget(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		bounds := Bounds{Ratio: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "ratio"), Reserve: 90, Window: 10 * time.Second}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := newSimFleet(random, bounds, rapid.IntRange(1, 3).Draw(t, "zones"), rapid.IntRange(2, 3).Draw(t, "per-zone"))
		f.faults = rapid.Bool().Draw(t, "faults")
		restarts := rapid.Bool().Draw(t, "restarts")
		share := 0.0
		busy := map[*simInstance]bool{}
		for range 450 {
			if random.IntN(60) == 0 {
				share = random.Float64() * random.Float64()
				for _, instance := range f.instances {
					busy[instance] = random.Float64() < share
				}
			}
			if random.IntN(60) == 0 {
				f.cutOff = []deployment.Zone{"", "z-0", "z-1"}[random.IntN(3)]
			}
			if restarts && random.IntN(100) == 0 {
				f.start(f.instances[random.IntN(len(f.instances))], f.now)
			}
			if random.IntN(3) == 0 {
				f.request(f.instances[random.IntN(len(f.instances))])
			}
			f.step(func(i *simInstance) bool { return busy[i] })
			allowed := bounds.Reserve + bounds.Ratio*float64(f.countRequests())
			if spent := within(f.retries, f.now, bounds.Window); float64(spent) > allowed {
				t.Fatalf("%d retries in a window that allows %.1f, at tick %d", spent, allowed, f.ticks)
			}
		}
	})
}

// TestZoneInNeedGetsLoans guards against a zone that loses servers and has only its own part of
// the budget, while the other zones retry nothing. A zone that is cut off lends no longer than
// a report is used.
func TestZoneInNeedGetsLoans(t *testing.T) {
	bounds := Bounds{Reserve: 300, Window: 10 * time.Second}
	f := newSimFleet(rand.New(rand.NewPCG(1, 1)), bounds, 3, 20)
	inNeed := func(i *simInstance) bool { return i.zone == "z-0" }
	for range 10 {
		f.step(func(*simInstance) bool { return false })
	}
	for range 10 {
		f.step(inNeed)
	}
	own := int(bounds.Reserve) / 3
	spent := len(f.retries)
	assert.Assert(t, spent >= own+own/2, "%d retries within a second, own part %d", spent, own)
	f.cutOff = "z-0"
	for range int(reportLifetime/simTick) + 2 {
		f.step(func(*simInstance) bool { return false })
	}
	assert.Assert(t, !f.instances[0].budget.Take(f.now, true), "a loan of a zone that is cut off")
}

// TestUnusedPartsAreBorrowed guards against an instance that may not retry though the others
// have hardly used the budget that all share.
func TestUnusedPartsAreBorrowed(t *testing.T) {
	f := newSimFleet(rand.New(rand.NewPCG(1, 1)), Bounds{Reserve: 360, Window: 10 * time.Second}, 1, 90)
	budget := f.instances[0].budget
	taken := 0
	for ; budget.Take(f.now, true); taken++ {
	}
	assert.Equal(t, taken, 4, "its own part")
	for range 4 {
		f.step(func(*simInstance) bool { return false })
	}
	assert.Assert(t, budget.Take(f.now, true))
	f = newSimFleet(rand.New(rand.NewPCG(1, 1)), f.bounds, 1, 90)
	for range 40 {
		f.step(func(*simInstance) bool { return true })
	}
	assert.Equal(t, len(f.retries), 360, "all spend their parts")
}

// TestPartBelowOneRetryIsNoNeed guards against a fleet so large that no instance may retry at all, as each
// one's part is less than one retry and nothing spent shows that it needs more.
func TestPartBelowOneRetryIsNoNeed(t *testing.T) {
	f := newSimFleet(rand.New(rand.NewPCG(1, 1)), Bounds{Reserve: 30, Window: 10 * time.Second}, 2, 40)
	for range 40 {
		f.step(func(i *simInstance) bool { return i == f.instances[0] })
	}
	assert.Assert(t, len(f.retries) >= 2, "%d retries", len(f.retries))
}
