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

// injectedBug is a bug that the simulation contains on purpose, to show that the
// test detects it.
type injectedBug int

const (
	noBug injectedBug = iota
	// epochUnchecked accepts replies of an earlier path.
	epochUnchecked
	// positionUnchecked accepts replies for another position.
	positionUnchecked
	// sessionUnchecked accepts replies of another session.
	sessionUnchecked
	// repeatedStepRerun makes runners execute a repeated step again.
	repeatedStepRerun
	// rerouteDropsToken starts a new path without the last token.
	rerouteDropsToken
)

const (
	proofLayers      = 6
	proofTokens      = 5
	simulationEvents = 400
	proofVersion     = "v1"
	proofSessions    = 2
)

// simulation consists of sessions, runners, and a network that loses, duplicates,
// delays and misdelivers messages.
type simulation struct {
	bug      injectedBug
	now      time.Time
	runners  []*fakeRunner
	sessions []*simSession
	steps    []sentStep
	replies  []sentReply
	trace    []string
	// allowRetries allows every retry.
	allowRetries bool
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
	hop       Hop
	states    map[string]*fakeState
	lastReply map[string]runner.Reply
}

type fakeState struct {
	kv           *hashmodel.KV
	nextPosition runner.Position
}

type simSession struct {
	sim     *simulation
	session *Session
	want    []hashmodel.Token
	got     []hashmodel.Token
	outcome Action
	fault   error
}

func newSimulation(bug injectedBug) *simulation {
	sim := &simulation{bug: bug, now: time.Unix(0, 0)}
	for i, r := range []runner.LayerRange{{First: 0, End: 3}, {First: 3, End: 6}, {First: 0, End: 3}, {First: 3, End: 6}, {First: 0, End: 6}} {
		sim.runners = append(sim.runners, &fakeRunner{
			hop: Hop{Runner: runner.ID(fmt.Sprint("r", i)), Range: r}, states: map[string]*fakeState{}, lastReply: map[string]runner.Reply{},
		})
	}
	for i := range proofSessions {
		prompt := hashmodel.Tokenize(fmt.Sprintf("prompt of session %d", i))
		s := &simSession{sim: sim, want: hashmodel.Answer(proofVersion, proofLayers, prompt, proofTokens)}
		s.session = NewSession(SessionConfig{
			ID: uuid.New(), Version: proofVersion, Layers: proofLayers, Prompt: prompt, MaxTokens: proofTokens,
		})
		sim.sessions = append(sim.sessions, s)
	}
	return sim
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

func (s *simSession) handle(c prove.Chooser, event Event) {
	if e, ok := event.(StepReplied); ok {
		event = s.applyBug(e)
	}
	if _, ok := event.(PathChosen); ok && s.sim.bug == rerouteDropsToken && len(s.got) > 1 {
		s.session.tokens = s.session.tokens[:len(s.session.tokens)-1]
	}
	s.act(c, s.session.Handle(s.sim.now, event))
}

// applyBug changes a reply to match the outstanding step in the field that the
// injected bug leaves unchecked, so that the session accepts it.
func (s *simSession) applyBug(e StepReplied) StepReplied {
	outstanding := s.session.step
	switch s.sim.bug {
	case epochUnchecked:
		e.Reply.Epoch = outstanding.Epoch
	case positionUnchecked:
		e.Reply.Position = outstanding.Position
	case sessionUnchecked:
		e.Reply.Session = outstanding.Session
	}
	return e
}

func (s *simSession) act(c prove.Chooser, actions []Action) {
	for _, action := range actions {
		s.sim.tracef("%T %+v", action, action)
		switch a := action.(type) {
		case ChoosePath:
			s.choosePath(c, a)
		case SendStep:
			s.sim.steps = append(s.sim.steps, sentStep{to: s.sim.runner(a.Hop.Runner), step: a.Step})
		case ProposeReroute:
			s.handle(c, RerouteDecided{Allowed: c.Choose(2) == 0})
		case ProposeRetry:
			s.handle(c, RetryDecided{Allowed: c.Choose(3) > 0 || s.sim.allowRetries})
		case Emit:
			s.recordToken(a.Token)
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

func (s *simSession) recordToken(token hashmodel.Token) {
	s.got = append(s.got, token)
	if len(s.got) > len(s.want) || token != s.want[len(s.got)-1] {
		s.fault = fmt.Errorf("token %d is %d, want %v", len(s.got), token, s.want)
	}
}

func (s *simSession) choosePath(c prove.Chooser, a ChoosePath) {
	sim := s.sim
	var path Path
	for at := 0; at < proofLayers; at = path[len(path)-1].Range.End {
		var eligible []Hop
		for _, r := range sim.runners {
			if r.hop.Range.First == at && !a.Exclude[r.hop.Runner] {
				eligible = append(eligible, r.hop)
			}
		}
		if len(eligible) == 0 {
			s.handle(c, NoPath{})
			return
		}
		path = append(path, eligible[c.Choose(len(eligible))])
	}
	s.handle(c, PathChosen{Path: path})
}

func (sim *simulation) runner(id runner.ID) *fakeRunner {
	i := slices.IndexFunc(sim.runners, func(r *fakeRunner) bool { return r.hop.Runner == id })
	return sim.runners[i]
}

// run executes a step as an engine does: it returns the stored reply for a repeated
// step.
func (r *fakeRunner) run(sim *simulation, step runner.Step) runner.Reply {
	key := fmt.Sprint(step.Session, step.Epoch)
	reply := runner.Reply{
		Session: step.Session, Epoch: step.Epoch, Position: step.Position, Range: r.hop.Range, Version: proofVersion,
	}
	s := r.states[key]
	last, replied := r.lastReply[key]
	switch {
	case replied && last.Position == step.Position && sim.bug != repeatedStepRerun:
		return last
	case s == nil && step.Position > 0:
		reply.Status = runner.StepUnknownSession
		return reply
	case s == nil:
		s = &fakeState{kv: hashmodel.NewKV(r.hop.Range.First, r.hop.Range.End)}
		r.states[key] = s
	case s.nextPosition != step.Position && sim.bug != repeatedStepRerun:
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
	s.nextPosition = step.Position + runner.Position(len(inputs))
	if r.hop.Range.End == proofLayers {
		reply.Token = hashmodel.Pick(output)
	}
	r.lastReply[key] = reply
	return reply
}

func (sim *simulation) randomEvent(c prove.Chooser) {
	switch c.Choose(10) {
	case 0, 1, 2, 3:
		sim.deliverStep(c)
	case 4, 5, 6, 7:
		sim.deliverReply(c)
	case 8:
		sim.now = sim.now.Add(time.Duration(c.Choose(3)) * 100 * time.Millisecond)
		for _, s := range sim.sessions {
			s.handle(c, Tick{})
		}
	case 9:
		sim.injectFault(c)
	}
}

func (sim *simulation) deliverStep(c prove.Chooser) {
	if len(sim.steps) == 0 {
		return
	}
	i := c.Choose(len(sim.steps))
	sent := sim.steps[i]
	draw := c.Choose(8)
	if draw != 0 {
		// Otherwise the step is delivered a second time.
		sim.steps = slices.Delete(sim.steps, i, i+1)
	}
	if draw == 1 {
		return
	}
	reply := sent.to.run(sim, sent.step)
	sim.replies = append(sim.replies, sentReply{from: sent.to.hop.Runner, reply: reply})
}

// deliverReply delivers a reply to every session, as a runner that misdelivers
// replies would.
func (sim *simulation) deliverReply(c prove.Chooser) {
	if len(sim.replies) == 0 {
		return
	}
	i := c.Choose(len(sim.replies))
	sent := sim.replies[i]
	draw := c.Choose(8)
	if draw != 0 {
		sim.replies = slices.Delete(sim.replies, i, i+1)
	}
	if draw == 1 {
		return
	}
	for _, s := range sim.sessions {
		s.handle(c, StepReplied{From: sent.from, Reply: sent.reply})
	}
}

func (sim *simulation) injectFault(c prove.Chooser) {
	r := sim.runners[c.Choose(len(sim.runners))]
	var event Event
	switch c.Choose(3) {
	case 0:
		sim.tracef("%s restarts", r.hop.Runner)
		r.states, r.lastReply = map[string]*fakeState{}, map[string]runner.Reply{}
		event = StreamLost{Runner: r.hop.Runner}
	case 1:
		event = StreamLost{Runner: r.hop.Runner}
	case 2:
		event = RunnerUnreachable{Runner: r.hop.Runner}
	}
	for _, s := range sim.sessions {
		s.handle(c, event)
	}
}

func tokensAreCorrect(bug injectedBug) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		sim := newSimulation(bug)
		for _, s := range sim.sessions {
			s.act(c, s.session.Start())
		}
		for range simulationEvents {
			sim.randomEvent(c)
			for _, s := range sim.sessions {
				if s.fault != nil {
					return fmt.Errorf("%w\n%s", s.fault, strings.Join(sim.trace, "\n"))
				}
			}
		}
		return nil
	}
}

// TestProveAnswers runs sessions over runners that crash, stop responding, and
// repeat or misdeliver replies, and checks every token.
func TestProveAnswers(t *testing.T) {
	prove.Check(t, tokensAreCorrect(noBug))
}

// TestProveAnswersCatches checks that the simulation detects each injected bug.
func TestProveAnswersCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"reply of an earlier path accepted":   tokensAreCorrect(epochUnchecked),
		"reply for another position accepted": tokensAreCorrect(positionUnchecked),
		"reply of another session accepted":   tokensAreCorrect(sessionUnchecked),
		"repeated step executed again":        tokensAreCorrect(repeatedStepRerun),
		"new path started without last token": tokensAreCorrect(rerouteDropsToken),
	})
}
