package claim

import (
	"fmt"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// The steps of a call and the faults that meet it there.
var (
	matrixSteps  = []string{"claim", "read-back", "dispatch", "outcome", "unwritten", "release"}
	matrixFaults = []string{
		"kill", "pause", "cut-log", "lost-answer", "late-append", "duplicate", "trimmed", "log-down", "resent",
	}
)

// scenario is one call through one instance, faults on its way, and the same
// call again through another instance once all is well.
type scenario struct {
	w      *world
	faults map[string][]string
	first  *simCall
	twin   *simCall
	key    Key
}

func runScenario(faults map[string][]string) *scenario {
	w := newWorld(noFlaw, 2, 1)
	s := &scenario{w: w, faults: faults, key: w.keys[0]}
	a := w.nodes[0]
	s.first = a.begin(s.key)
	for _, step := range s.steps() {
		ending := appendTaken
		for _, fault := range faults[step] {
			ending = max(ending, s.inject(step, fault))
		}
		s.take(step, ending)
	}
	s.settle()
	return s
}

// steps returns the steps of the call that its faults are about.
func (s *scenario) steps() []string {
	if s.unwritten() {
		return []string{"claim", "read-back", "unwritten", "release"}
	}
	return []string{"claim", "read-back", "dispatch", "outcome"}
}

// unwritten says that the call's dispatches write nothing, which leads to a
// release.
func (s *scenario) unwritten() bool {
	return len(s.faults["unwritten"]) > 0 || len(s.faults["release"]) > 0
}

// inject lets a fault happen and returns how an append at this step ends.
func (s *scenario) inject(step, fault string) int {
	w, a := s.w, s.w.nodes[0]
	switch fault {
	case "kill":
		a.restart()
	case "pause":
		w.now = w.now.Add(10 * time.Second)
		a.tick()
	case "cut-log":
		w.now = w.now.Add(time.Second)
		return appendRefused
	case "log-down":
		w.now = w.now.Add(time.Minute)
		a.tick()
		return appendRefused
	case "lost-answer":
		return appendLandedUnanswered
	case "late-append":
		return appendLandsLate
	case "duplicate":
		if step == "claim" && s.first.claim != nil {
			w.land(*s.first.claim)
		}
		if len(a.outbox) > 0 {
			w.land(a.outbox[0])
		}
	case "trimmed":
		w.first += logservice.Offset(len(w.log))
		w.log = nil
	case "resent":
		s.resend()
	}
	return appendTaken
}

// resend sends the call through the other instance at the same moment.
func (s *scenario) resend() {
	if s.twin != nil {
		return
	}
	s.twin = s.w.nodes[1].begin(s.key)
	s.finish(s.twin)
}

// finish lets a call run as far as it can without faults.
func (s *scenario) finish(c *simCall) {
	n := c.node
	if c.claim != nil {
		c.appendClaim(appendTaken)
	}
	for n.read(true) {
	}
	if c.dispatch {
		c.endDispatch(dispatchAnswered)
	}
	for len(n.outbox) > 0 {
		n.flush(appendTaken)
	}
}

// take lets the first call take a step.
func (s *scenario) take(step string, ending int) {
	a, c := s.w.nodes[0], s.first
	if len(a.calls) == 0 {
		return
	}
	switch step {
	case "claim":
		if c.claim != nil {
			c.appendClaim(ending)
		}
	case "read-back":
		for ending != appendRefused && a.read(true) {
		}
	case "dispatch", "unwritten":
		s.dispatch(ending)
	case "outcome", "release":
		if len(a.outbox) > 0 {
			a.flush(ending)
		}
	}
}

func (s *scenario) dispatch(ending int) {
	for s.first.dispatch {
		switch {
		case s.unwritten():
			s.first.endDispatch(dispatchNotWritten)
		case ending == appendLandedUnanswered:
			s.first.endDispatch(dispatchLostAfter)
		case ending == appendLandsLate:
			s.first.endDispatch(dispatchLostLate)
		default:
			s.first.endDispatch(dispatchAnswered)
		}
	}
}

// settle ends every fault and sends the call again through the other instance.
func (s *scenario) settle() {
	w := s.w
	for range 2 {
		w.now = w.now.Add(3 * time.Second)
		for _, entry := range w.late {
			w.land(entry)
		}
		w.late = nil
		for _, n := range w.nodes {
			for n.read(true) {
			}
			n.tick()
			for _, c := range n.calls {
				s.finish(c)
			}
		}
	}
	for _, f := range w.flights {
		w.execute(f)
	}
	w.flights = nil
	again := w.nodes[1].begin(s.key)
	s.finish(again)
	w.now = w.now.Add(10 * time.Second)
	w.nodes[1].tick()
	s.twin = again
}

func (s *scenario) row(step, fault string) string {
	told := func(c *simCall) string {
		if c.reply == nil {
			return "cut"
		}
		return string(c.reply.Answer)
	}
	return fmt.Sprintf("%-10s %-12s first=%-8s again=%-8s ran=%d", step, fault, told(s.first), told(s.twin), s.w.ran[s.key])
}

// TestFaultMatrix meets a call with every fault at every step and compares
// what its callers are told with testdata/faults.txt.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

// TestFaultPairs meets a call with every two faults at every two steps and
// checks that what ran and what was told agree.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	s := runScenario(prove.FaultsByStep(injections))
	return s.row(injections[0].Step, injections[0].Fault), s.w.fault
}
