package engine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/runner"
)

// flaw names a fault that is planted to show that the proof catches it.
type flaw int

const (
	noFlaw flaw = iota
	// epochUnchecked takes replies of an earlier path.
	epochUnchecked
	// positionUnchecked takes replies for another position.
	positionUnchecked
	// sessionUnchecked takes replies of another session.
	sessionUnchecked
	// repeatRunsAgain lets runners run a repeated step a second time.
	repeatRunsAgain
	// resumeLosesToken starts a new path without the last token.
	resumeLosesToken
)

const (
	proofLayers   = 6
	proofTokens   = 5
	proofSteps    = 400
	proofVersion  = "v1"
	proofSessions = 2
)

// world is sessions, runners, and a network that loses, repeats, delays and
// crosses what it carries.
type world struct {
	flaw     flaw
	now      time.Time
	runners  []*fakeRunner
	sessions []*simSession
	steps    []sentStep
	replies  []sentReply
	trace    []string
	// patient allows every repeat.
	patient bool
}

type sentStep struct {
	to   *fakeRunner
	step runner.Step
}

type sentReply struct {
	from  runner.ID
	reply runner.Reply
}

type fakeRunner struct {
	hop    Hop
	states map[string]*fakeState
	last   map[string]runner.Reply
}

type fakeState struct {
	kv   *hashmodel.KV
	next runner.Position
}

type simSession struct {
	world   *world
	session *Session
	want    []hashmodel.Token
	got     []hashmodel.Token
	outcome Action
	fault   error
}

func newWorld(f flaw) *world {
	w := &world{flaw: f, now: time.Unix(0, 0)}
	for i, r := range []runner.LayerRange{{First: 0, End: 3}, {First: 3, End: 6}, {First: 0, End: 3}, {First: 3, End: 6}, {First: 0, End: 6}} {
		w.runners = append(w.runners, &fakeRunner{
			hop: Hop{Runner: runner.ID(fmt.Sprint("r", i)), Range: r}, states: map[string]*fakeState{}, last: map[string]runner.Reply{},
		})
	}
	for i := range proofSessions {
		prompt := hashmodel.Tokenize(fmt.Sprintf("prompt of session %d", i))
		s := &simSession{world: w, want: hashmodel.Answer(proofVersion, proofLayers, prompt, proofTokens)}
		s.session = NewSession(SessionConfig{
			ID: uuid.New(), Version: proofVersion, Layers: proofLayers, Prompt: prompt, MaxTokens: proofTokens,
		})
		w.sessions = append(w.sessions, s)
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (s *simSession) step(c prove.Chooser, event Event) {
	if e, ok := event.(StepReplied); ok {
		event = s.flawed(e)
	}
	if _, ok := event.(PathChosen); ok && s.world.flaw == resumeLosesToken && len(s.got) > 1 {
		s.session.tokens = s.session.tokens[:len(s.session.tokens)-1]
	}
	s.act(c, s.session.Handle(s.world.now, event))
}

// flawed makes a reply look like the one that is due, as a session without the
// check would take it.
func (s *simSession) flawed(e StepReplied) StepReplied {
	due := s.session.step
	switch s.world.flaw {
	case epochUnchecked:
		e.Reply.Epoch = due.Epoch
	case positionUnchecked:
		e.Reply.Position = due.Position
	case sessionUnchecked:
		e.Reply.Session = due.Session
	}
	return e
}

func (s *simSession) act(c prove.Chooser, actions []Action) {
	for _, action := range actions {
		s.world.note("%T %+v", action, action)
		switch a := action.(type) {
		case ChoosePath:
			s.choosePath(c, a)
		case SendStep:
			s.world.steps = append(s.world.steps, sentStep{to: s.world.runner(a.Hop.Runner), step: a.Step})
		case ProposeReroute:
			s.step(c, RerouteDecided{Allowed: c.Choose(2) == 0})
		case ProposeRetry:
			s.step(c, RetryDecided{Allowed: c.Choose(3) > 0 || s.world.patient})
		case Emit:
			s.emitted(a.Token)
		case Finish, Fail:
			if s.outcome != nil {
				s.fault = fmt.Errorf("answer ended twice: %T after %T", action, s.outcome)
			}
			s.outcome = action
			if _, ok := action.(Finish); ok && len(s.got) != proofTokens {
				s.fault = fmt.Errorf("answer finished after %d tokens", len(s.got))
			}
		}
	}
}

func (s *simSession) emitted(token hashmodel.Token) {
	s.got = append(s.got, token)
	if len(s.got) > len(s.want) || token != s.want[len(s.got)-1] {
		s.fault = fmt.Errorf("token %d is %d, want %v", len(s.got), token, s.want)
	}
}

func (s *simSession) choosePath(c prove.Chooser, a ChoosePath) {
	w := s.world
	var path Path
	for at := 0; at < proofLayers; at = path[len(path)-1].Range.End {
		var open []Hop
		for _, r := range w.runners {
			if r.hop.Range.First == at && !a.Exclude[r.hop.Runner] {
				open = append(open, r.hop)
			}
		}
		if len(open) == 0 {
			s.step(c, NoPath{})
			return
		}
		path = append(path, open[c.Choose(len(open))])
	}
	s.step(c, PathChosen{Path: path})
}

func (w *world) runner(id runner.ID) *fakeRunner {
	i := slices.IndexFunc(w.runners, func(r *fakeRunner) bool { return r.hop.Runner == id })
	return w.runners[i]
}

// run answers a step as an engine does: a repeated one from its store.
func (r *fakeRunner) run(w *world, step runner.Step) runner.Reply {
	key := fmt.Sprint(step.Session, step.Epoch)
	reply := runner.Reply{
		Session: step.Session, Epoch: step.Epoch, Position: step.Position, Range: r.hop.Range, Version: proofVersion,
	}
	s := r.states[key]
	last, answered := r.last[key]
	switch {
	case answered && last.Position == step.Position && w.flaw != repeatRunsAgain:
		return last
	case s == nil && step.Position > 0:
		reply.Status = runner.StepUnknownSession
		return reply
	case s == nil:
		s = &fakeState{kv: hashmodel.NewKV(r.hop.Range.First, r.hop.Range.End)}
		r.states[key] = s
	case s.next != step.Position && w.flaw != repeatRunsAgain:
		reply.Status = runner.StepOutOfOrder
		return reply
	}
	inputs := slices.Clone(step.Hidden)
	for _, t := range step.Tokens {
		inputs = append(inputs, hashmodel.Embed(proofVersion, t))
	}
	var output hashmodel.Hidden
	for _, h := range inputs {
		output = s.kv.Run(h)
		reply.Hidden = append(reply.Hidden, output)
	}
	s.next = step.Position + runner.Position(len(inputs))
	if r.hop.Range.End == proofLayers {
		reply.Token = hashmodel.Pick(output)
	}
	r.last[key] = reply
	return reply
}

func (w *world) randomStep(c prove.Chooser) {
	switch c.Choose(10) {
	case 0, 1, 2, 3:
		w.deliverStep(c)
	case 4, 5, 6, 7:
		w.deliverReply(c)
	case 8:
		w.now = w.now.Add(time.Duration(c.Choose(3)) * 100 * time.Millisecond)
		for _, s := range w.sessions {
			s.step(c, Tick{})
		}
	case 9:
		w.disturb(c)
	}
}

func (w *world) deliverStep(c prove.Chooser) {
	if len(w.steps) == 0 {
		return
	}
	i := c.Choose(len(w.steps))
	sent := w.steps[i]
	ending := c.Choose(8)
	if ending != 0 {
		// Otherwise the step comes in a second time.
		w.steps = slices.Delete(w.steps, i, i+1)
	}
	if ending == 1 {
		return
	}
	reply := sent.to.run(w, sent.step)
	w.replies = append(w.replies, sentReply{from: sent.to.hop.Runner, reply: reply})
}

// deliverReply hands a reply to every session, as a runner that crosses
// answers would.
func (w *world) deliverReply(c prove.Chooser) {
	if len(w.replies) == 0 {
		return
	}
	i := c.Choose(len(w.replies))
	sent := w.replies[i]
	ending := c.Choose(8)
	if ending != 0 {
		w.replies = slices.Delete(w.replies, i, i+1)
	}
	if ending == 1 {
		return
	}
	for _, s := range w.sessions {
		s.step(c, StepReplied{From: sent.from, Reply: sent.reply})
	}
}

func (w *world) disturb(c prove.Chooser) {
	r := w.runners[c.Choose(len(w.runners))]
	var event Event
	switch c.Choose(3) {
	case 0:
		w.note("%s restarts", r.hop.Runner)
		r.states, r.last = map[string]*fakeState{}, map[string]runner.Reply{}
		event = StreamLost{Runner: r.hop.Runner}
	case 1:
		event = StreamLost{Runner: r.hop.Runner}
	case 2:
		event = RunnerUnreachable{Runner: r.hop.Runner}
	}
	for _, s := range w.sessions {
		s.step(c, event)
	}
}

func answersAreRight(f flaw) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		w := newWorld(f)
		for _, s := range w.sessions {
			s.act(c, s.session.Start())
		}
		for range proofSteps {
			w.randomStep(c)
			for _, s := range w.sessions {
				if s.fault != nil {
					return fmt.Errorf("%w\n%s", s.fault, strings.Join(w.trace, "\n"))
				}
			}
		}
		return nil
	}
}

// TestProveAnswers drives sessions over runners that die, fall silent, repeat
// and cross their replies, and checks every token.
func TestProveAnswers(t *testing.T) {
	prove.Check(t, answersAreRight(noFlaw))
}

// TestProveAnswersCatches shows that the proof fails for wrong variants.
func TestProveAnswersCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"reply of an earlier path taken":     answersAreRight(epochUnchecked),
		"reply for another position taken":   answersAreRight(positionUnchecked),
		"reply of another session taken":     answersAreRight(sessionUnchecked),
		"repeated step runs again":           answersAreRight(repeatRunsAgain),
		"new path starts without last token": answersAreRight(resumeLosesToken),
	})
}
