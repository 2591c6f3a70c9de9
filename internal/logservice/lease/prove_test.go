package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// injectedBug is a bug that the simulation adds to the code under test, to show
// that the invariant checks detect it.
type injectedBug int

const (
	noBug injectedBug = iota
	// anyRequestGranted grants a request whatever token it replaces.
	anyRequestGranted
	// noReadBack lets an instance order a version from a runner only once, even if
	// the runner has another version later.
	noReadBack
)

const (
	instanceCount = 3
	stepCount     = 200
	leaseName     = Name("orders/zone-a")
)

// simulation is several instances that compete for a lease, and two runners: one
// rejects old fencing tokens, the other executes every order.
type simulation struct {
	bug           injectedBug
	now           time.Time
	log           []logservice.Record
	first         logservice.Offset
	instances     []*simInstance
	delayed       []Request
	grants        map[FencingToken]Incarnation
	runners       [2]runner
	wantedVersion int
}

type runner struct {
	version     int
	token       FencingToken
	checksToken bool
}

type simInstance struct {
	self      Incarnation
	state     *State
	candidate *Candidate
	paused    bool
	// wantedVersion is the version that the instance wants the runners to have.
	wantedVersion int
	// orderedOnce is set at 2*version+runner once the instance has decided to order
	// that version from that runner.
	orderedOnce map[int]bool
	// inFlight is an order that was decided and not yet sent.
	inFlight *order
}

type order struct {
	token   FencingToken
	version int
	runner  int
}

func newSimulation(bug injectedBug) *simulation {
	sim := &simulation{bug: bug, now: time.Unix(0, 0), grants: map[FencingToken]Incarnation{}}
	sim.runners[0].checksToken = true
	for range instanceCount {
		sim.instances = append(sim.instances, newInstance())
	}
	return sim
}

func newInstance() *simInstance {
	self := uuid.New()
	return &simInstance{self: self, state: NewState(), candidate: NewCandidate(leaseName, self), orderedOnce: map[int]bool{}}
}

func (sim *simulation) appendToLog(r Request) {
	body, err := EncodeRequest(r)
	if err != nil {
		panic(err)
	}
	sim.log = append(sim.log, logservice.Record{Offset: sim.first + logservice.Offset(len(sim.log)), Time: sim.now, Body: body})
}

// read lets an instance read to the end of the log and checks that instances without a
// gap have the same grants.
func (sim *simulation) read(inst *simInstance) error {
	if inst.state.Next() < sim.first {
		inst.state.HandleTrim(sim.first)
	}
	for index := int(inst.state.Next() - sim.first); index < len(sim.log); index++ {
		record := sim.log[index]
		if r, err := DecodeRequest(record.Body); err == nil && sim.bug == anyRequestGranted && !r.Renew {
			r.Replaces = inst.state.Grant(leaseName).Token
			record.Body, _ = EncodeRequest(r)
		}
		if err := inst.state.Apply(sim.now, record); err != nil {
			return err
		}
		g := inst.state.Grant(leaseName)
		if inst.state.hasGap || g.Token == NoToken {
			continue
		}
		if other, ok := sim.grants[g.Token]; ok && other != g.Holder {
			return fmt.Errorf("token %d is held by two instances", g.Token)
		}
		sim.grants[g.Token] = g.Holder
		if int64(g.Token) > int64(sim.log[index].Offset) {
			return fmt.Errorf("token %d is newer than the log", g.Token)
		}
	}
	return sim.checkGrants()
}

// checkGrants checks that instances without a gap that have read the same records
// have the same grant.
func (sim *simulation) checkGrants() error {
	seen := map[logservice.Offset]Grant{}
	for _, inst := range sim.instances {
		if inst.state.hasGap {
			continue
		}
		g := inst.state.Grant(leaseName)
		if other, ok := seen[inst.state.Next()]; ok && (other.Token != g.Token || other.Holder != g.Holder) {
			return fmt.Errorf("two instances at offset %d have different grants: tokens %d and %d", inst.state.Next(), other.Token, g.Token)
		}
		seen[inst.state.Next()] = g
	}
	return nil
}

func (sim *simulation) act(inst *simInstance, runner int) {
	g := inst.state.Grant(leaseName)
	if !inst.candidate.Holds(sim.now, g) || sim.runners[runner].version == inst.wantedVersion {
		return
	}
	if sim.bug == noReadBack && inst.orderedOnce[inst.wantedVersion*2+runner] {
		return
	}
	inst.orderedOnce[inst.wantedVersion*2+runner] = true
	inst.inFlight = &order{token: g.Token, version: inst.wantedVersion, runner: runner}
}

func (sim *simulation) deliver(inst *simInstance) {
	if inst.inFlight == nil {
		return
	}
	target := &sim.runners[inst.inFlight.runner]
	if !target.checksToken || inst.inFlight.token >= target.token {
		target.version, target.token = inst.inFlight.version, max(target.token, inst.inFlight.token)
	}
	inst.inFlight = nil
}

func (sim *simulation) request(c prove.Chooser, inst *simInstance) {
	inst.candidate.SetPreferred(c.Choose(2) == 0)
	r, ok := inst.candidate.Step(sim.now, inst.state)
	if !ok {
		return
	}
	switch c.Choose(4) {
	case 0:
		sim.delayed = append(sim.delayed, r)
	case 1:
	default:
		sim.appendToLog(r)
	}
}

func (sim *simulation) step(c prove.Chooser) error {
	index := c.Choose(len(sim.instances))
	inst := sim.instances[index]
	switch c.Choose(9) {
	case 0, 1:
		sim.now = sim.now.Add(time.Duration(c.Choose(4)) * time.Second)
	case 2:
		if !inst.paused {
			sim.request(c, inst)
		}
	case 3:
		if !inst.paused {
			return sim.read(inst)
		}
	case 4:
		if !inst.paused {
			sim.act(inst, c.Choose(2))
		}
	case 5:
		// An order that was decided before a pause may be sent at any time
		// after it.
		sim.deliver(inst)
	case 6:
		inst.paused = !inst.paused
	case 7:
		if len(sim.delayed) > 0 {
			sim.appendToLog(sim.delayed[0])
			sim.delayed = sim.delayed[1:]
		}
	case 8:
		sim.injectFault(c, index)
	}
	return nil
}

func (sim *simulation) injectFault(c prove.Chooser, index int) {
	switch c.Choose(3) {
	case 0:
		sim.instances[index] = newInstance()
		sim.instances[index].wantedVersion = sim.wantedVersion
	case 1:
		sim.wantedVersion++
		sim.instances[index].wantedVersion = sim.wantedVersion
	case 2:
		drop := c.Choose(len(sim.log) + 1)
		sim.first += logservice.Offset(drop)
		sim.log = sim.log[drop:]
	}
}

// settle ends the faults and lets 60 s pass. One instance must then hold the lease,
// and both runners must have the version that it wants.
func (sim *simulation) settle() error {
	for _, inst := range sim.instances {
		inst.paused, inst.wantedVersion = false, sim.wantedVersion
		sim.deliver(inst)
	}
	for _, r := range sim.delayed {
		sim.appendToLog(r)
	}
	for round := range 120 {
		sim.now = sim.now.Add(500 * time.Millisecond)
		for i, inst := range sim.instances {
			if err := sim.read(inst); err != nil {
				return err
			}
			inst.candidate.SetPreferred(i == 0)
			if r, ok := inst.candidate.Step(sim.now, inst.state); ok {
				sim.appendToLog(r)
			}
			sim.act(inst, round%2)
			sim.deliver(inst)
		}
	}
	holders := 0
	for _, inst := range sim.instances {
		if inst.candidate.Holds(sim.now, inst.state.Grant(leaseName)) {
			holders++
		}
	}
	versions := []int{sim.runners[0].version, sim.runners[1].version}
	if holders != 1 || slices.ContainsFunc(versions, func(v int) bool { return v != sim.wantedVersion }) {
		return fmt.Errorf("after the faults ended: %d holders, versions %v, want 1 holder and version %d", holders, versions, sim.wantedVersion)
	}
	return nil
}

func leaseInvariantsHold(bug injectedBug) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		sim := newSimulation(bug)
		for range stepCount {
			if err := sim.step(c); err != nil {
				return err
			}
		}
		return sim.settle()
	}
}

// TestProveLeases lets instances compete for a lease and send orders to two runners,
// with pauses, delayed and lost requests, trims and restarts in random order.
func TestProveLeases(t *testing.T) {
	prove.Check(t, leaseInvariantsHold(noBug))
}

// TestProveLeasesCatches checks that TestProveLeases would detect each of the
// injected bugs.
func TestProveLeasesCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"any request granted":             leaseInvariantsHold(anyRequestGranted),
		"runner versions never read back": leaseInvariantsHold(noReadBack),
	})
}
