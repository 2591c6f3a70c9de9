package lease

import (
	"fmt"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
)

// The steps from the request of a lease to an order sent by its holder, and the
// faults that can occur at each.
var (
	matrixSteps  = []string{"request", "renewal", "order-decided", "order-sent"}
	matrixFaults = []string{"kill", "pause", "cut-log", "lost-answer", "late-append", "duplicate", "trimmed"}
)

// scenario lets instance 0 acquire the lease and send an order to both runners, with
// injected faults, while instance 1 wants a newer version.
type scenario struct {
	sim    *simulation
	faults map[string][]string
	// faultVersions are the versions of the runners before the faults ended.
	faultVersions [2]int
}

func runScenario(faults map[string][]string) (*scenario, error) {
	s := &scenario{sim: newSimulation(noBug), faults: faults}
	sim := s.sim
	sim.instances[0].wantedVersion, sim.wantedVersion = 1, 2
	sim.instances[1].wantedVersion, sim.instances[2].wantedVersion = 2, 2
	sim.instances[0].candidate.SetPreferred(true)
	s.request("request")
	sim.now = sim.now.Add(renewInterval)
	s.request("renewal")
	// The runner that ignores fencing tokens comes first, so that it receives an
	// order that was delayed by a pause.
	for _, runner := range []int{1, 0} {
		s.inject("order-decided")
		sim.act(sim.instances[0], runner)
		s.inject("order-sent")
		sim.deliver(sim.instances[0])
	}
	s.faultVersions = [2]int{sim.runners[0].version, sim.runners[1].version}
	return s, sim.settle()
}

// request appends the next request of instance 0, with the faults of the step.
func (s *scenario) request(step string) {
	sim, inst := s.sim, s.sim.instances[0]
	r, ok := inst.candidate.Step(sim.now, inst.state)
	if !ok {
		return
	}
	appended := true
	for _, fault := range s.faults[step] {
		switch fault {
		case "cut-log":
			appended = false
		case "late-append":
			appended = false
			sim.delayed = append(sim.delayed, r)
		case "duplicate":
			sim.appendToLog(r)
		}
	}
	if appended {
		sim.appendToLog(r)
	}
	s.inject(step)
	_ = sim.read(sim.instances[0])
}

// inject applies those faults of a step that are not about an append.
func (s *scenario) inject(step string) {
	sim := s.sim
	for _, fault := range s.faults[step] {
		switch fault {
		case "kill":
			inFlight := sim.instances[0].inFlight
			sim.instances[0] = newInstance()
			sim.instances[0].wantedVersion, sim.instances[0].inFlight = 1, inFlight
		case "pause":
			s.otherInstanceTakesOver()
		case "trimmed":
			sim.first += logservice.Offset(len(sim.log))
			sim.log = nil
		}
	}
}

// otherInstanceTakesOver lets the lease expire and instance 1 acquire it and send
// orders to both runners, while instance 0 is paused.
func (s *scenario) otherInstanceTakesOver() {
	sim, inst := s.sim, s.sim.instances[1]
	inst.candidate.SetPreferred(true)
	for range 40 {
		sim.now = sim.now.Add(500 * time.Millisecond)
		_ = sim.read(inst)
		if r, ok := inst.candidate.Step(sim.now, inst.state); ok {
			sim.appendToLog(r)
		}
		for runner := range sim.runners {
			sim.act(inst, runner)
			sim.deliver(inst)
		}
	}
}

func (s *scenario) row(step, fault string) string {
	holder := "nobody"
	for i, inst := range s.sim.instances {
		if inst.candidate.Holds(s.sim.now, inst.state.Grant(leaseName)) {
			holder = fmt.Sprint("node ", i)
		}
	}
	return fmt.Sprintf("%-14s %-12s injected=%d,%d then holder=%s grants=%d engines=%d,%d", step, fault, s.faultVersions[0], s.faultVersions[1],
		holder, len(s.sim.grants), s.sim.runners[0].version, s.sim.runners[1].version)
}

// TestFaultMatrix injects each fault at each step of a lease and of the orders under
// it. After the faults, one instance must hold the lease and both runners must have
// the wanted version. The outcome is compared with testdata/faults.txt, where node is
// an instance and engines are the versions of the runners. Some faults do nothing at
// some steps: lost-answer at all of them, because the response of an append is
// ignored, and cut-log, late-append and duplicate at the order steps, which append
// nothing.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

// TestFaultPairs injects each pair of faults. It checks the same conditions, but
// compares no outcomes.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	s, err := runScenario(prove.FaultsByStep(injections))
	return s.row(injections[0].Step, injections[0].Fault), err
}
