package engine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// The steps of an answer and the faults that meet it there.
var (
	matrixSteps  = []string{"prefill-first", "prefill-last", "token-first", "token-last", "end-first", "end-last"}
	matrixFaults = []string{
		"killed", "restarted", "silent", "frozen", "reply-dropped", "reply-repeated", "reply-crossed", "reply-late",
		"slow", "leaving", "loading", "cancelled",
	}
	// stepNumbers says which step that is sent has which name.
	stepNumbers = map[string]int{
		"prefill-first": 0, "prefill-last": 1, "token-first": 4, "token-last": 5, "end-first": 8, "end-last": 9,
	}
)

// firstChooser always takes the first choice.
type firstChooser struct{}

func (firstChooser) Choose(int) int { return 0 }

// answerRun is one answer that meets faults at numbered steps.
type answerRun struct {
	w      *world
	s      *simSession
	other  *simSession
	faults map[int][]string
	number int
	held   []sentReply
}

func runAnswer(faults map[int][]string) *answerRun {
	w := newWorld(noFlaw)
	w.patient = true
	r := &answerRun{w: w, s: w.sessions[0], other: w.sessions[1], faults: faults}
	r.s.act(firstChooser{}, r.s.session.Start())
	for round := 0; round < 400 && r.s.outcome == nil && !r.s.session.Ended(); round++ {
		r.round()
	}
	for _, late := range r.held {
		r.s.step(firstChooser{}, StepReplied{From: late.from, Reply: late.reply})
	}
	return r
}

// round carries the oldest step, or lets time pass when there is none.
func (r *answerRun) round() {
	if len(r.w.steps) == 0 {
		r.w.now = r.w.now.Add(100 * time.Millisecond)
		r.s.step(firstChooser{}, Tick{})
		return
	}
	sent := r.w.steps[0]
	r.w.steps = r.w.steps[1:]
	number := r.number
	r.number++
	deliver := true
	for _, fault := range r.faults[number] {
		deliver = r.inject(fault, sent) && deliver
	}
	if deliver {
		r.deliver(sent)
	}
}

func (r *answerRun) deliver(sent sentStep) {
	r.s.step(firstChooser{}, StepReplied{From: sent.to.hop.Runner, Reply: sent.to.run(r.w, sent.step)})
}

// inject lets a fault happen and reports whether the step goes on.
func (r *answerRun) inject(fault string, sent sentStep) bool {
	c, id := firstChooser{}, sent.to.hop.Runner
	refuse := func(status runner.StepStatus) {
		r.s.step(c, StepReplied{From: id, Reply: runner.Reply{
			Session: sent.step.Session, Epoch: sent.step.Epoch, Position: sent.step.Position, Status: status,
		}})
	}
	switch fault {
	case "killed":
		sent.to.states, sent.to.last = map[string]*fakeState{}, map[string]runner.Reply{}
		r.s.step(c, StreamLost{Runner: id})
		r.w.steps = nil
		r.s.step(c, RunnerUnreachable{Runner: id})
	case "restarted":
		sent.to.states, sent.to.last = map[string]*fakeState{}, map[string]runner.Reply{}
		r.s.step(c, StreamLost{Runner: id})
	case "silent":
		sent.to.run(r.w, sent.step)
		r.s.step(c, StreamLost{Runner: id})
	case "frozen":
		r.w.now = r.w.now.Add(time.Second)
		r.s.step(c, Tick{})
		r.w.steps = nil
		r.w.now = r.w.now.Add(time.Second)
		r.s.step(c, Tick{})
	case "reply-dropped":
		sent.to.run(r.w, sent.step)
	case "reply-repeated":
		r.deliver(sent)
		r.deliver(sent)
	case "reply-crossed":
		crossed := sent.to.run(r.w, sent.step)
		crossed.Session = r.other.session.config.ID
		r.s.step(c, StepReplied{From: id, Reply: crossed})
		return true
	case "reply-late":
		r.held = append(r.held, sentReply{from: id, reply: sent.to.run(r.w, sent.step)})
		r.s.step(c, RunnerUnreachable{Runner: id})
	case "slow":
		r.w.now = r.w.now.Add(200 * time.Millisecond)
		return true
	case "leaving":
		refuse(runner.StepLeaving)
	case "loading":
		refuse(runner.StepWrongModel)
	case "cancelled":
		r.s.step(c, Cancelled{})
	}
	return false
}

func (r *answerRun) row(step, fault string) string {
	outcome := "cancelled"
	if r.s.outcome != nil {
		outcome = strings.TrimPrefix(fmt.Sprintf("%T", r.s.outcome), "engine.")
	}
	return fmt.Sprintf("%-14s %-15s %-10s tokens=%d paths=%d steps=%d", step, fault, outcome, len(r.s.got), r.s.session.paths, r.number)
}

// TestFaultMatrix meets an answer with every fault at every step and compares
// what its caller gets with testdata/faults.txt.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

// TestFaultPairs meets an answer with every two faults at every two steps: it
// ends whole, unless its caller has gone, and no token is wrong, missing or
// repeated.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, prove.Injections(matrixSteps, matrixFaults), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	faults := map[int][]string{}
	cancelled := false
	for _, s := range injections {
		cancelled = cancelled || s.Fault == "cancelled"
		// Two faults of one step would both answer it; the first one counts.
		if number := stepNumbers[s.Step]; faults[number] == nil {
			faults[number] = []string{s.Fault}
		}
	}
	r := runAnswer(faults)
	_, whole := r.s.outcome.(Finish)
	if r.s.fault == nil && !whole && !cancelled {
		return "", fmt.Errorf("answer ended as %T", r.s.outcome)
	}
	return r.row(injections[0].Step, injections[0].Fault), r.s.fault
}
