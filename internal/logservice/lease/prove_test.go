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

// flaw names a fault that is planted to show that the proof catches it.
type flaw int

const (
	noFlaw flaw = iota
	// anyRequestGranted grants a request whatever it replaces.
	anyRequestGranted
	// noReadBack lets a holder order an engine once and never look again.
	noReadBack
)

const (
	proofNodes = 3
	proofSteps = 200
	duty       = Name("orders/zone-a")
)

// world is instances that race for a duty and two engines: one refuses old
// fencing numbers, the other obeys everybody.
type world struct {
	flaw    flaw
	now     time.Time
	log     []logservice.Record
	first   logservice.Offset
	nodes   []*node
	late    []Request
	grants  map[FencingToken]Incarnation
	engines [2]engine
	wanted  int
}

type engine struct {
	version int
	fence   FencingToken
	refuses bool
}

type node struct {
	self   Incarnation
	fold   *State
	holder *Candidate
	paused bool
	// wanted is the version that the node's document names.
	wanted  int
	ordered map[int]bool
	// inFlight is an order that was decided and not sent yet.
	inFlight *order
}

type order struct {
	fence   FencingToken
	version int
	engine  int
}

func newWorld(f flaw) *world {
	w := &world{flaw: f, now: time.Unix(0, 0), grants: map[FencingToken]Incarnation{}}
	w.engines[0].refuses = true
	for range proofNodes {
		w.nodes = append(w.nodes, newNode())
	}
	return w
}

func newNode() *node {
	self := uuid.New()
	return &node{self: self, fold: NewState(), holder: NewCandidate(duty, self), ordered: map[int]bool{}}
}

func (w *world) land(r Request) {
	body, err := EncodeRequest(r)
	if err != nil {
		panic(err)
	}
	w.log = append(w.log, logservice.Record{Offset: w.first + logservice.Offset(len(w.log)), Time: w.now, Body: body})
}

// read lets a node read to the end and checks that those who missed nothing
// agree on who was granted what.
func (w *world) read(n *node) error {
	if n.fold.Next() < w.first {
		n.fold.HandleTrim(w.first)
	}
	for at := int(n.fold.Next() - w.first); at < len(w.log); at++ {
		record := w.log[at]
		if r, err := DecodeRequest(record.Body); err == nil && w.flaw == anyRequestGranted && !r.Renew {
			r.Replaces = n.fold.Grant(duty).Token
			record.Body, _ = EncodeRequest(r)
		}
		if err := n.fold.Apply(w.now, record); err != nil {
			return err
		}
		g := n.fold.Grant(duty)
		if n.fold.missed || g.Token == NoToken {
			continue
		}
		if other, ok := w.grants[g.Token]; ok && other != g.Holder {
			return fmt.Errorf("fence %d is held by two", g.Token)
		}
		w.grants[g.Token] = g.Holder
		if int64(g.Token) > int64(w.log[at].Offset) {
			return fmt.Errorf("fence %d is newer than the log", g.Token)
		}
	}
	return w.agree()
}

// agree compares nodes that have read the same records and missed none.
func (w *world) agree() error {
	seen := map[logservice.Offset]Grant{}
	for _, n := range w.nodes {
		if n.fold.missed {
			continue
		}
		g := n.fold.Grant(duty)
		if other, ok := seen[n.fold.Next()]; ok && (other.Token != g.Token || other.Holder != g.Holder) {
			return fmt.Errorf("two nodes at %d know grants %d and %d", n.fold.Next(), other.Token, g.Token)
		}
		seen[n.fold.Next()] = g
	}
	return nil
}

func (w *world) act(n *node, engine int) {
	g := n.fold.Grant(duty)
	if !n.holder.Holds(w.now, g) || w.engines[engine].version == n.wanted {
		return
	}
	if w.flaw == noReadBack && n.ordered[n.wanted*2+engine] {
		return
	}
	n.ordered[n.wanted*2+engine] = true
	n.inFlight = &order{fence: g.Token, version: n.wanted, engine: engine}
}

func (w *world) deliver(n *node) {
	if n.inFlight == nil {
		return
	}
	e := &w.engines[n.inFlight.engine]
	if !e.refuses || n.inFlight.fence >= e.fence {
		e.version, e.fence = n.inFlight.version, max(e.fence, n.inFlight.fence)
	}
	n.inFlight = nil
}

func (w *world) request(c prove.Chooser, n *node) {
	n.holder.SetPreferred(c.Choose(2) == 0)
	r, ok := n.holder.Step(w.now, n.fold)
	if !ok {
		return
	}
	switch c.Choose(4) {
	case 0:
		w.late = append(w.late, r)
	case 1:
	default:
		w.land(r)
	}
}

func (w *world) step(c prove.Chooser) error {
	at := c.Choose(len(w.nodes))
	n := w.nodes[at]
	switch c.Choose(9) {
	case 0, 1:
		w.now = w.now.Add(time.Duration(c.Choose(4)) * time.Second)
	case 2:
		if !n.paused {
			w.request(c, n)
		}
	case 3:
		if !n.paused {
			return w.read(n)
		}
	case 4:
		if !n.paused {
			w.act(n, c.Choose(2))
		}
	case 5:
		// An order that was decided before a pause goes out when its holder
		// wakes.
		w.deliver(n)
	case 6:
		n.paused = !n.paused
	case 7:
		if len(w.late) > 0 {
			w.land(w.late[0])
			w.late = w.late[1:]
		}
	case 8:
		w.disturb(c, at)
	}
	return nil
}

func (w *world) disturb(c prove.Chooser, at int) {
	switch c.Choose(3) {
	case 0:
		w.nodes[at] = newNode()
		w.nodes[at].wanted = w.wanted
	case 1:
		w.wanted++
		w.nodes[at].wanted = w.wanted
	case 2:
		drop := c.Choose(len(w.log) + 1)
		w.first += logservice.Offset(drop)
		w.log = w.log[drop:]
	}
}

// settle ends the disturbances and lets time pass: one holder must remain and
// both engines must run what it wants.
func (w *world) settle() error {
	for _, n := range w.nodes {
		n.paused, n.wanted = false, w.wanted
		w.deliver(n)
	}
	for _, r := range w.late {
		w.land(r)
	}
	for round := range 120 {
		w.now = w.now.Add(500 * time.Millisecond)
		for i, n := range w.nodes {
			if err := w.read(n); err != nil {
				return err
			}
			n.holder.SetPreferred(i == 0)
			if r, ok := n.holder.Step(w.now, n.fold); ok {
				w.land(r)
			}
			w.act(n, round%2)
			w.deliver(n)
		}
	}
	holders := 0
	for _, n := range w.nodes {
		if n.holder.Holds(w.now, n.fold.Grant(duty)) {
			holders++
		}
	}
	versions := []int{w.engines[0].version, w.engines[1].version}
	if holders != 1 || slices.ContainsFunc(versions, func(v int) bool { return v != w.wanted }) {
		return fmt.Errorf("after all is well: %d holders, versions %v, want %d", holders, versions, w.wanted)
	}
	return nil
}

func leasesHold(f flaw) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		w := newWorld(f)
		for range proofSteps {
			if err := w.step(c); err != nil {
				return err
			}
		}
		return w.settle()
	}
}

// TestProveLeases races instances for a duty, with pauses, late and lost
// requests, trims and restarts, and orders two engines under it.
func TestProveLeases(t *testing.T) {
	prove.Check(t, leasesHold(noFlaw))
}

// TestProveLeasesCatches shows that the proof fails for wrong variants.
func TestProveLeasesCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"any request granted":     leasesHold(anyRequestGranted),
		"engines never read back": leasesHold(noReadBack),
	})
}
