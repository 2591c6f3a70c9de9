package claim

import (
	"fmt"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// The steps of a call and the faults injected at each of them.
var (
	matrixSteps  = []string{"claim", "read-back", "dispatch", "outcome", "unwritten", "release"}
	matrixFaults = []string{
		"kill", "pause", "cut-log", "lost-answer", "late-append", "duplicate", "trimmed", "log-down", "resent",
	}
)

// scenario is a call through one instance with injected faults, and the same call
// through another instance after recovery.
type scenario struct {
	sim    *simulation
	faults map[string][]string
	first  *simCall
	second *simCall
	key    Key
}

func runScenario(faults map[string][]string) *scenario {
	sim := newSimulation(noBug, 2, 1)
	s := &scenario{sim: sim, faults: faults, key: sim.keys[0]}
	inst := sim.instances[0]
	s.first = inst.begin(s.key)
	for _, step := range s.steps() {
		result := appendAccepted
		for _, fault := range faults[step] {
			result = max(result, s.inject(step, fault))
		}
		s.runStep(step, result)
	}
	s.recoverAndResend()
	return s
}

// steps returns the steps of the call, which depend on the faults to inject.
func (s *scenario) steps() []string {
	if s.neverSent() {
		return []string{"claim", "read-back", "unwritten", "release"}
	}
	return []string{"claim", "read-back", "dispatch", "outcome"}
}

// neverSent reports whether the dispatches of the call write nothing, which leads
// to a release.
func (s *scenario) neverSent() bool {
	return len(s.faults["unwritten"]) > 0 || len(s.faults["release"]) > 0
}

// inject injects a fault and returns the result of an append at this step, which
// dispatch maps to a dispatch result.
func (s *scenario) inject(step, fault string) int {
	sim, inst := s.sim, s.sim.instances[0]
	switch fault {
	case "kill":
		inst.restart()
	case "pause":
		sim.now = sim.now.Add(10 * time.Second)
		inst.tick()
	case "cut-log":
		sim.now = sim.now.Add(time.Second)
		return appendRefused
	case "log-down":
		sim.now = sim.now.Add(time.Minute)
		inst.tick()
		return appendRefused
	case "lost-answer":
		return appendResponseLost
	case "late-append":
		return appendDelayed
	case "duplicate":
		if step == "claim" && s.first.pendingClaim != nil {
			sim.appendEntry(*s.first.pendingClaim)
		}
		if len(inst.outbox) > 0 {
			sim.appendEntry(inst.outbox[0])
		}
	case "trimmed":
		sim.first += logservice.Offset(len(sim.log))
		sim.log = nil
	case "resent":
		s.resend()
	}
	return appendAccepted
}

// resend sends the call through the other instance while the first is in flight.
func (s *scenario) resend() {
	if s.second != nil {
		return
	}
	s.second = s.sim.instances[1].begin(s.key)
	s.runToCompletion(s.second)
}

// runToCompletion runs a call as far as possible without faults.
func (s *scenario) runToCompletion(c *simCall) {
	inst := c.instance
	if c.pendingClaim != nil {
		c.finishClaimAppend(appendAccepted)
	}
	for inst.read(true) {
	}
	if c.dispatchPending {
		c.finishDispatch(dispatchResponded)
	}
	for len(inst.outbox) > 0 {
		inst.flush(appendAccepted)
	}
}

// runStep runs one step of the first call.
func (s *scenario) runStep(step string, result int) {
	inst, c := s.sim.instances[0], s.first
	if len(inst.calls) == 0 {
		return
	}
	switch step {
	case "claim":
		if c.pendingClaim != nil {
			c.finishClaimAppend(result)
		}
	case "read-back":
		for result != appendRefused && inst.read(true) {
		}
	case "dispatch", "unwritten":
		s.dispatch(result)
	case "outcome", "release":
		if len(inst.outbox) > 0 {
			inst.flush(result)
		}
	}
}

func (s *scenario) dispatch(result int) {
	for s.first.dispatchPending {
		switch {
		case s.neverSent():
			s.first.finishDispatch(dispatchNotSent)
		case result == appendResponseLost:
			s.first.finishDispatch(dispatchResponseLost)
		case result == appendDelayed:
			s.first.finishDispatch(dispatchDelayed)
		default:
			s.first.finishDispatch(dispatchResponded)
		}
	}
}

// recoverAndResend ends all faults and sends the call again through the other
// instance.
func (s *scenario) recoverAndResend() {
	sim := s.sim
	for range 2 {
		sim.now = sim.now.Add(3 * time.Second)
		for _, entry := range sim.delayed {
			sim.appendEntry(entry)
		}
		sim.delayed = nil
		for _, inst := range sim.instances {
			for inst.read(true) {
			}
			inst.tick()
			for _, c := range inst.calls {
				s.runToCompletion(c)
			}
		}
	}
	for _, r := range sim.inFlight {
		sim.execute(r)
	}
	sim.inFlight = nil
	again := sim.instances[1].begin(s.key)
	s.runToCompletion(again)
	sim.now = sim.now.Add(10 * time.Second)
	sim.instances[1].tick()
	s.second = again
}

func (s *scenario) row(step, fault string) string {
	outcome := func(c *simCall) string {
		if c.reply == nil {
			return "cut"
		}
		return string(c.reply.Outcome)
	}
	return fmt.Sprintf("%-10s %-12s first=%-8s again=%-8s ran=%d", step, fault, outcome(s.first), outcome(s.second), s.sim.ran[s.key])
}

// TestFaultMatrix injects every fault at every step of a call and compares the
// replies to its callers with testdata/faults.txt. Some faults do nothing at some
// steps: lost-answer and late-append at read-back and unwritten, and duplicate at
// read-back, dispatch and unwritten, where no entry waits for its append. At
// dispatch and unwritten, cut-log and log-down only advance the clock.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

// TestFaultPairs injects every pair of faults at every pair of steps and checks
// that no reply contradicts what ran.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	s := runScenario(prove.FaultsByStep(injections))
	return s.row(injections[0].Step, injections[0].Fault), s.sim.violation
}
