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
	// noReadBack lets a holder send an order to a runner only once and never
	// check the version that the runner has.
	noReadBack
)

const (
	proofNodes = 3
	proofSteps = 200
	leaseName  = Name("orders/zone-a")
)

// simulation is several instances that compete for a lease, and two runners: one
// rejects old fencing tokens, the other executes every order.
type simulation struct {
	bug           injectedBug
	now           time.Time
	log           []logservice.Record
	first         logservice.Offset
	nodes         []*node
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

type node struct {
	self      Incarnation
	state     *State
	candidate *Candidate
	paused    bool
	// wantedVersion is the version that the node wants the runners to have.
	wantedVersion int
	ordered       map[int]bool
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
	for range proofNodes {
		sim.nodes = append(sim.nodes, newNode())
	}
	return sim
}

func newNode() *node {
	self := uuid.New()
	return &node{self: self, state: NewState(), candidate: NewCandidate(leaseName, self), ordered: map[int]bool{}}
}

func (sim *simulation) appendToLog(r Request) {
	body, err := EncodeRequest(r)
	if err != nil {
		panic(err)
	}
	sim.log = append(sim.log, logservice.Record{Offset: sim.first + logservice.Offset(len(sim.log)), Time: sim.now, Body: body})
}

// read lets a node read to the end of the log and checks that nodes without a gap
// have the same grants.
func (sim *simulation) read(n *node) error {
	if n.state.Next() < sim.first {
		n.state.HandleTrim(sim.first)
	}
	for index := int(n.state.Next() - sim.first); index < len(sim.log); index++ {
		record := sim.log[index]
		if r, err := DecodeRequest(record.Body); err == nil && sim.bug == anyRequestGranted && !r.Renew {
			r.Replaces = n.state.Grant(leaseName).Token
			record.Body, _ = EncodeRequest(r)
		}
		if err := n.state.Apply(sim.now, record); err != nil {
			return err
		}
		g := n.state.Grant(leaseName)
		if n.state.hasGap || g.Token == NoToken {
			continue
		}
		if other, ok := sim.grants[g.Token]; ok && other != g.Holder {
			return fmt.Errorf("token %d is held by two nodes", g.Token)
		}
		sim.grants[g.Token] = g.Holder
		if int64(g.Token) > int64(sim.log[index].Offset) {
			return fmt.Errorf("token %d is newer than the log", g.Token)
		}
	}
	return sim.checkGrants()
}

// checkGrants checks that nodes without a gap that have read the same records have
// the same grant.
func (sim *simulation) checkGrants() error {
	seen := map[logservice.Offset]Grant{}
	for _, n := range sim.nodes {
		if n.state.hasGap {
			continue
		}
		g := n.state.Grant(leaseName)
		if other, ok := seen[n.state.Next()]; ok && (other.Token != g.Token || other.Holder != g.Holder) {
			return fmt.Errorf("two nodes at offset %d have different grants: tokens %d and %d", n.state.Next(), other.Token, g.Token)
		}
		seen[n.state.Next()] = g
	}
	return nil
}

func (sim *simulation) act(n *node, runner int) {
	g := n.state.Grant(leaseName)
	if !n.candidate.Holds(sim.now, g) || sim.runners[runner].version == n.wantedVersion {
		return
	}
	if sim.bug == noReadBack && n.ordered[n.wantedVersion*2+runner] {
		return
	}
	n.ordered[n.wantedVersion*2+runner] = true
	n.inFlight = &order{token: g.Token, version: n.wantedVersion, runner: runner}
}

func (sim *simulation) deliver(n *node) {
	if n.inFlight == nil {
		return
	}
	target := &sim.runners[n.inFlight.runner]
	if !target.checksToken || n.inFlight.token >= target.token {
		target.version, target.token = n.inFlight.version, max(target.token, n.inFlight.token)
	}
	n.inFlight = nil
}

func (sim *simulation) request(c prove.Chooser, n *node) {
	n.candidate.SetPreferred(c.Choose(2) == 0)
	r, ok := n.candidate.Step(sim.now, n.state)
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
	index := c.Choose(len(sim.nodes))
	n := sim.nodes[index]
	switch c.Choose(9) {
	case 0, 1:
		sim.now = sim.now.Add(time.Duration(c.Choose(4)) * time.Second)
	case 2:
		if !n.paused {
			sim.request(c, n)
		}
	case 3:
		if !n.paused {
			return sim.read(n)
		}
	case 4:
		if !n.paused {
			sim.act(n, c.Choose(2))
		}
	case 5:
		// An order that was decided before a pause may be sent at any time
		// after it.
		sim.deliver(n)
	case 6:
		n.paused = !n.paused
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
		sim.nodes[index] = newNode()
		sim.nodes[index].wantedVersion = sim.wantedVersion
	case 1:
		sim.wantedVersion++
		sim.nodes[index].wantedVersion = sim.wantedVersion
	case 2:
		drop := c.Choose(len(sim.log) + 1)
		sim.first += logservice.Offset(drop)
		sim.log = sim.log[drop:]
	}
}

// settle ends the faults and lets 60 s pass. One node must then hold the lease, and
// both runners must have the version that it wants.
func (sim *simulation) settle() error {
	for _, n := range sim.nodes {
		n.paused, n.wantedVersion = false, sim.wantedVersion
		sim.deliver(n)
	}
	for _, r := range sim.delayed {
		sim.appendToLog(r)
	}
	for round := range 120 {
		sim.now = sim.now.Add(500 * time.Millisecond)
		for i, n := range sim.nodes {
			if err := sim.read(n); err != nil {
				return err
			}
			n.candidate.SetPreferred(i == 0)
			if r, ok := n.candidate.Step(sim.now, n.state); ok {
				sim.appendToLog(r)
			}
			sim.act(n, round%2)
			sim.deliver(n)
		}
	}
	holders := 0
	for _, n := range sim.nodes {
		if n.candidate.Holds(sim.now, n.state.Grant(leaseName)) {
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
		for range proofSteps {
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
