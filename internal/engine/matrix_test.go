package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// Steps of an answer and faults that are injected at them.
var (
	matrixSteps  = []string{"prefill-first", "prefill-last", "token-first", "token-last", "end-first", "end-last"}
	matrixFaults = []string{
		"killed",         // the runner loses its state, its stream ends, and no new one can be opened
		"restarted",      // the runner loses its state and its stream ends; the step is sent again
		"silent",         // the step runs; its reply and the stream are lost
		"frozen",         // the runner replies neither to the step nor to its retry
		"reply-dropped",  // the step runs; its reply is lost and the stream stays open
		"reply-repeated", // the step and its reply are delivered twice
		"reply-crossed",  // a reply that names another session precedes the right one
		"reply-late",     // the runner becomes unreachable; its reply arrives after the answer has ended
		"slow",           // the reply takes 200 ms
		"leaving",        // the runner rejects the step because it is draining
		"loading",        // the runner rejects the step because it holds another model, version or range
		"cancelled",      // the caller cancels the answer; the step does not run
	}
	// stepNumbers maps the name of a step to its position in the order of sending.
	stepNumbers = map[string]int{
		"prefill-first": 0, "prefill-last": 1, "token-first": 4, "token-last": 5, "end-first": 8, "end-last": 9,
	}
)

// firstChooser always chooses the first option.
type firstChooser struct{}

func (firstChooser) Choose(int) int { return 0 }

// faultRun is the simulation of one answer with faults at numbered steps.
type faultRun struct {
	sim        *simulation
	s          *simSession
	other      *simSession
	faults     map[int][]string
	stepNumber int
	delayed    []sentReply
}

func runWithFaults(faults map[int][]string) *faultRun {
	sim := newSimulation(noBug)
	sim.allowRetries = true
	r := &faultRun{sim: sim, s: sim.sessions[0], other: sim.sessions[1], faults: faults}
	r.s.act(firstChooser{}, r.s.session.Start())
	for round := 0; round < 400 && r.s.outcome == nil && !r.s.session.Ended(); round++ {
		r.round()
	}
	for _, late := range r.delayed {
		r.s.handle(firstChooser{}, StepReplied{From: late.from, Reply: late.reply})
	}
	return r
}

// round processes the oldest step in flight, or advances the clock if there is none.
func (r *faultRun) round() {
	if len(r.sim.steps) == 0 {
		r.sim.now = r.sim.now.Add(100 * time.Millisecond)
		r.s.handle(firstChooser{}, Tick{})
		return
	}
	sent := r.sim.steps[0]
	r.sim.steps = r.sim.steps[1:]
	number := r.stepNumber
	r.stepNumber++
	deliver := true
	for _, fault := range r.faults[number] {
		deliver = r.inject(fault, sent) && deliver
	}
	if deliver {
		r.deliver(sent)
	}
}

func (r *faultRun) deliver(sent sentStep) {
	r.s.handle(firstChooser{}, StepReplied{From: sent.to.hop.Runner, Reply: sent.to.run(r.sim, sent.step)})
}

// inject applies a fault and reports whether the step is still to be delivered.
func (r *faultRun) inject(fault string, sent sentStep) bool {
	c, id := firstChooser{}, sent.to.hop.Runner
	reject := func(status runner.StepStatus) {
		r.s.handle(c, StepReplied{From: id, Reply: runner.Reply{
			Session: sent.step.Session, Epoch: sent.step.Epoch, Position: sent.step.Position, Status: status,
		}})
	}
	switch fault {
	case "killed":
		sent.to.states, sent.to.lastReply = map[string]*fakeState{}, map[string]runner.Reply{}
		r.s.handle(c, StreamLost{Runner: id})
		r.sim.steps = nil
		r.s.handle(c, RunnerUnreachable{Runner: id})
	case "restarted":
		sent.to.states, sent.to.lastReply = map[string]*fakeState{}, map[string]runner.Reply{}
		r.s.handle(c, StreamLost{Runner: id})
	case "silent":
		sent.to.run(r.sim, sent.step)
		r.s.handle(c, StreamLost{Runner: id})
	case "frozen":
		r.sim.now = r.sim.now.Add(time.Second)
		r.s.handle(c, Tick{})
		r.sim.steps = nil
		r.sim.now = r.sim.now.Add(time.Second)
		r.s.handle(c, Tick{})
	case "reply-dropped":
		sent.to.run(r.sim, sent.step)
	case "reply-repeated":
		r.deliver(sent)
		r.deliver(sent)
	case "reply-crossed":
		crossed := sent.to.run(r.sim, sent.step)
		crossed.Session = r.other.session.config.ID
		r.s.handle(c, StepReplied{From: id, Reply: crossed})
		return true
	case "reply-late":
		r.delayed = append(r.delayed, sentReply{from: id, reply: sent.to.run(r.sim, sent.step)})
		r.s.handle(c, RunnerUnreachable{Runner: id})
	case "slow":
		r.sim.now = r.sim.now.Add(200 * time.Millisecond)
		return true
	case "leaving":
		reject(runner.StepLeaving)
	case "loading":
		reject(runner.StepWrongModel)
	case "cancelled":
		r.s.handle(c, Canceled{})
	}
	return false
}

func (r *faultRun) row(step, fault string) string {
	outcome := "cancelled"
	if r.s.outcome != nil {
		outcome = strings.TrimPrefix(fmt.Sprintf("%T", r.s.outcome), "engine.")
	}
	return fmt.Sprintf("%-14s %-15s %-10s tokens=%d paths=%d steps=%d", step, fault, outcome, len(r.s.got), r.s.session.pathCount, r.stepNumber)
}

// TestFaultMatrix injects every fault at every step and compares the outcome for the
// caller with testdata/faults.txt.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

// TestFaultPairs injects every pair of faults at every pair of steps; of two faults at
// the same step, only the first is applied. The answer must be complete unless its
// caller canceled it, and no token may be wrong, missing or repeated.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	faults := map[int][]string{}
	canceled := false
	for _, s := range injections {
		canceled = canceled || s.Fault == "cancelled"
		// Two faults at one step would both reply to it; only the first is applied.
		if number := stepNumbers[s.Step]; faults[number] == nil {
			faults[number] = []string{s.Fault}
		}
	}
	r := runWithFaults(faults)
	_, complete := r.s.outcome.(Finish)
	if r.s.fault == nil && !complete && !canceled {
		return "", fmt.Errorf("answer ended with %T, want a complete answer", r.s.outcome)
	}
	return r.row(injections[0].Step, injections[0].Fault), r.s.fault
}
