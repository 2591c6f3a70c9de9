package lease

import (
	"fmt"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// The steps of a lease and of an order under it, and the faults that meet them.
var (
	matrixSteps  = []string{"request", "renewal", "order-decided", "order-sent"}
	matrixFaults = []string{"kill", "pause", "cut-log", "lost-answer", "late-append", "duplicate", "trimmed"}
)

// scenario lets node 0 take the duty and order both engines, with faults on its
// way, while node 1 wants a newer version.
type scenario struct {
	w      *world
	faults map[string][]string
	// injected is what the engines ran before all was well again.
	injected [2]int
}

func runScenario(faults map[string][]string) (*scenario, error) {
	s := &scenario{w: newWorld(noFlaw), faults: faults}
	w := s.w
	w.nodes[0].wanted, w.wanted = 1, 2
	w.nodes[1].wanted, w.nodes[2].wanted = 2, 2
	w.nodes[0].holder.SetPreferred(true)
	s.ask("request")
	w.now = w.now.Add(renewInterval)
	s.ask("renewal")
	// The engine that ignores fencing numbers comes first, so that an order that
	// was held back by a pause meets it.
	for _, engine := range []int{1, 0} {
		s.inject("order-decided")
		w.act(w.nodes[0], engine)
		s.inject("order-sent")
		w.deliver(w.nodes[0])
	}
	s.injected = [2]int{w.engines[0].version, w.engines[1].version}
	return s, w.settle()
}

// ask appends what node 0 asks for, with the faults of the step.
func (s *scenario) ask(step string) {
	w, n := s.w, s.w.nodes[0]
	r, ok := n.holder.Step(w.now, n.fold)
	if !ok {
		return
	}
	landed := true
	for _, fault := range s.faults[step] {
		switch fault {
		case "cut-log":
			landed = false
		case "late-append":
			landed = false
			w.late = append(w.late, r)
		case "duplicate":
			w.land(r)
		}
	}
	if landed {
		w.land(r)
	}
	s.inject(step)
	_ = w.read(w.nodes[0])
}

// inject lets the faults of a step happen that are not about an append.
func (s *scenario) inject(step string) {
	w := s.w
	for _, fault := range s.faults[step] {
		switch fault {
		case "kill":
			inFlight := w.nodes[0].inFlight
			w.nodes[0] = newNode()
			w.nodes[0].wanted, w.nodes[0].inFlight = 1, inFlight
		case "pause":
			s.others()
		case "trimmed":
			w.first += logservice.Offset(len(w.log))
			w.log = nil
		}
	}
}

// others lets the lease lapse and another node take the duty and order both
// engines, while node 0 sleeps.
func (s *scenario) others() {
	w, n := s.w, s.w.nodes[1]
	n.holder.SetPreferred(true)
	for range 40 {
		w.now = w.now.Add(500 * time.Millisecond)
		_ = w.read(n)
		if r, ok := n.holder.Step(w.now, n.fold); ok {
			w.land(r)
		}
		for engine := range w.engines {
			w.act(n, engine)
			w.deliver(n)
		}
	}
}

func (s *scenario) row(step, fault string) string {
	holder := "nobody"
	for i, n := range s.w.nodes {
		if n.holder.Holds(s.w.now, n.fold.Grant(duty)) {
			holder = fmt.Sprint("node ", i)
		}
	}
	return fmt.Sprintf("%-14s %-12s injected=%d,%d then holder=%s grants=%d engines=%d,%d", step, fault, s.injected[0], s.injected[1],
		holder, len(s.w.grants), s.w.engines[0].version, s.w.engines[1].version)
}

// TestFaultMatrix meets a lease and its orders with every fault at every step.
// In the end one node holds the duty and both engines run what documents name.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

// TestFaultPairs meets a lease and its orders with every two faults at every
// two steps.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	s, err := runScenario(prove.FaultsByStep(injections))
	return s.row(injections[0].Step, injections[0].Fault), err
}
