package engine

import (
	"maps"
	"time"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	// stallTimeout plus stallFactor times the predicted time is how long a
	// step may take before it is sent again. A silent connection is noticed
	// by its stream before that.
	stallTimeout = 250 * time.Millisecond
	stallFactor  = 3
	// maxPaths bounds how often one answer changes its path.
	maxPaths = 8
	// A step is slow when it takes longer than slowStep and slowFactor times
	// what was predicted. After slowSteps of them in a row the answer moves,
	// if the tokens left would lose more time than moveCost by staying.
	slowStep   = 50 * time.Millisecond
	slowFactor = 4
	slowSteps  = 2
	moveCost   = 300 * time.Millisecond
	// stayTokens is how many tokens an answer stays after a move was no better.
	stayTokens = 8
)

// SessionConfig describes one answer.
type SessionConfig struct {
	ID        runner.SessionID
	Model     environment.ModelName
	Version   environment.ModelVersion
	Layers    int
	Priority  int
	Prompt    []hashmodel.Token
	MaxTokens int
}

// Session decides about one answer. A step is outstanding at one runner at a
// time; a reply is taken only if it answers exactly that step.
type Session struct {
	config SessionConfig
	// tokens is the prompt and all tokens emitted.
	tokens  []hashmodel.Token
	emitted int
	path    Path
	epoch   runner.Epoch
	hop     int
	step    runner.Step
	// due is when the outstanding step counts as stalled; zero if none is.
	due    time.Time
	sent   time.Time
	resent bool
	// slow counts the slow steps in a row at each runner of the path, and took
	// is how long the last step of one position took there.
	slow map[runner.ID]int
	took map[runner.ID]time.Duration
	// leaving is the runner whose leave was proposed, empty if none was.
	leaving runner.ID
	avoid   map[runner.ID]bool
	paths   int
	ended   bool
}

// NewSession returns the decider of an answer.
func NewSession(config SessionConfig) *Session {
	return &Session{
		config: config,
		tokens: append([]hashmodel.Token(nil), config.Prompt...),
		avoid:  map[runner.ID]bool{},
	}
}

// Ended reports whether the answer was finished, failed or cancelled.
func (s *Session) Ended() bool {
	return s.ended
}

// Due returns when the session needs a Tick; zero if it needs none.
func (s *Session) Due() time.Time {
	return s.due
}

// Start returns the first action.
func (s *Session) Start() []Action {
	return []Action{s.choose()}
}

// Handle takes an event and returns what to do, in order.
func (s *Session) Handle(now time.Time, event Event) []Action {
	if s.ended {
		if e, ok := event.(StepReplied); ok {
			return []Action{DropReply{From: e.From}}
		}
		return nil
	}
	switch e := event.(type) {
	case PathChosen:
		return s.begin(now, e.Path)
	case NoPath:
		return s.noPath()
	case StepReplied:
		return s.replied(now, e)
	case StreamLost:
		return s.streamLost(now, e.Runner)
	case RunnerUnreachable:
		return s.unreachable(e.Runner)
	case Tick:
		return s.tick(now)
	case Cancelled:
		return s.end()
	case RetryDecided:
		return s.repeatAnswered(now, e.Allowed)
	case RerouteDecided:
		return s.moveAnswered(now, e.Allowed)
	case Quarantined:
		return append([]Action{Fail{Reason: FailQuarantined}}, s.end()...)
	}
	return nil
}

func (s *Session) choose() Action {
	s.due = time.Time{}
	s.path = nil
	return ChoosePath{Positions: len(s.tokens), Exclude: s.avoid}
}

// begin starts over on a new path from all tokens known so far.
func (s *Session) begin(now time.Time, path Path) []Action {
	s.path = path
	s.paths++
	s.epoch++
	s.hop = 0
	s.slow = map[runner.ID]int{}
	s.took = map[runner.ID]time.Duration{}
	step := s.newStep(0)
	step.Tokens = append([]hashmodel.Token(nil), s.tokens...)
	return []Action{s.send(now, step, false)}
}

func (s *Session) newStep(position runner.Position) runner.Step {
	return runner.Step{
		Session: s.config.ID, Epoch: s.epoch, Position: position,
		Range: s.path[s.hop].Range, Model: s.config.Model, Version: s.config.Version, Priority: s.config.Priority,
	}
}

func (s *Session) send(now time.Time, step runner.Step, again bool) Action {
	hop := s.path[s.hop]
	s.step = step
	s.sent = now
	s.resent = again
	s.due = now.Add(stallTimeout + stallFactor*max(hop.Expected, s.took[hop.Runner]))
	return SendStep{Hop: hop, Step: step}
}

func (s *Session) replied(now time.Time, e StepReplied) []Action {
	if !s.expects(e) {
		return []Action{DropReply{From: e.From}}
	}
	if e.Reply.Status != runner.StepOK {
		return s.repath(e.From)
	}
	actions := s.observe(now, e.From)
	if s.hop < len(s.path)-1 {
		if len(e.Reply.Hidden) != s.step.Count() {
			return append([]Action{ReportRunnerFailure{Runner: e.From}}, s.repath(e.From)...)
		}
		return append(actions, s.forward(now, e.Reply.Hidden)...)
	}
	return append(actions, s.token(now, e.Reply.Token)...)
}

// observe notes how long a step of one position took.
func (s *Session) observe(now time.Time, from runner.ID) []Action {
	if s.step.Count() != 1 {
		return nil
	}
	took := now.Sub(s.sent)
	s.took[from] = took
	if took > slowStep && took > slowFactor*s.path[s.hop].Expected {
		s.slow[from]++
	} else {
		s.slow[from] = 0
	}
	return []Action{RecordStepTime{Runner: from, Elapsed: took}}
}

// tooSlow returns a runner that the answer had better leave, at a token.
func (s *Session) tooSlow() (runner.ID, bool) {
	left := time.Duration(s.config.MaxTokens - s.emitted)
	for _, hop := range s.path {
		if s.slow[hop.Runner] >= slowSteps && left*slowStep > moveCost && s.paths < maxPaths/2 {
			return hop.Runner, true
		}
	}
	return "", false
}

// expects reports whether a reply answers the outstanding step.
func (s *Session) expects(e StepReplied) bool {
	if s.path == nil || s.due.IsZero() || e.From != s.path[s.hop].Runner {
		return false
	}
	r, step := e.Reply, s.step
	if r.Session != step.Session || r.Epoch != step.Epoch || r.Position != step.Position {
		return false
	}
	if r.Status != runner.StepOK {
		return true
	}
	return r.Range == step.Range && r.Version == step.Version
}

func (s *Session) forward(now time.Time, hidden []hashmodel.Hidden) []Action {
	position := s.step.Position
	done := s.step.Range.End
	s.hop++
	step := s.newStep(position)
	if err := invariant.Check(step.Range.First == done, invariant.LayerOrder,
		"layer %d follows layer %d", step.Range.First, done-1); err != nil {
		return append([]Action{Fail{Reason: FailInvariant}}, s.end()...)
	}
	step.Hidden = hidden
	return []Action{s.send(now, step, false)}
}

func (s *Session) token(now time.Time, token hashmodel.Token) []Action {
	ran := int(s.step.Position) + s.step.Count()
	complete := s.step.Range.End == s.config.Layers && ran == len(s.tokens)
	if err := invariant.Check(complete, invariant.LayerOrder,
		"token taken after layer %d at position %d of %d", s.step.Range.End-1, ran, len(s.tokens)); err != nil {
		return append([]Action{Fail{Reason: FailInvariant}}, s.end()...)
	}
	s.tokens = append(s.tokens, token)
	s.emitted++
	actions := []Action{Emit{Token: token}}
	if s.emitted >= s.config.MaxTokens {
		return append(append(actions, Finish{}), s.end()...)
	}
	s.hop = 0
	if slow, ok := s.tooSlow(); ok {
		s.due, s.leaving = time.Time{}, slow
		avoid := maps.Clone(s.avoid)
		avoid[slow] = true
		return append(actions, ProposeReroute{Runner: slow, Elapsed: s.took[slow], Exclude: avoid})
	}
	return append(actions, s.next(now))
}

// next sends the newest token on its way.
func (s *Session) next(now time.Time) Action {
	last := len(s.tokens) - 1
	step := s.newStep(runner.Position(last))
	step.Tokens = []hashmodel.Token{s.tokens[last]}
	return s.send(now, step, false)
}

// moveAnswered leaves a slow runner, or stays and asks again later.
func (s *Session) moveAnswered(now time.Time, better bool) []Action {
	if s.leaving == "" || s.path == nil {
		return nil
	}
	slow := s.leaving
	s.leaving = ""
	if better {
		return s.repath(slow)
	}
	s.slow[slow] = -stayTokens
	return []Action{s.next(now)}
}

// streamLost sends the step again on a new connection: the runner answers a
// repeated step from its store, so nothing runs twice.
func (s *Session) streamLost(now time.Time, id runner.ID) []Action {
	if s.path == nil || s.path[s.hop].Runner != id || s.due.IsZero() {
		return nil
	}
	if s.resent {
		return s.unreachable(id)
	}
	return []Action{s.send(now, s.step, true)}
}

func (s *Session) unreachable(id runner.ID) []Action {
	if s.path == nil || s.path[s.hop].Runner != id {
		return nil
	}
	return append([]Action{ReportRunnerFailure{Runner: id}}, s.repath(id)...)
}

// repath goes on without a runner.
func (s *Session) repath(id runner.ID) []Action {
	actions := s.closeStages()
	s.avoid[id] = true
	if s.paths >= maxPaths {
		return append(append(actions, Fail{Reason: FailTooManyReroutes}), s.end()...)
	}
	return append(actions, s.choose())
}

// noPath forgets which runners to avoid once: a runner that was lost may serve
// again, and none may be left without it.
func (s *Session) noPath() []Action {
	if len(s.avoid) > 0 && s.paths < maxPaths {
		s.avoid = map[runner.ID]bool{}
		s.paths++
		return []Action{s.choose()}
	}
	return append([]Action{Fail{Reason: FailNoPath}}, s.end()...)
}

func (s *Session) tick(now time.Time) []Action {
	if s.due.IsZero() || now.Before(s.due) {
		return nil
	}
	return []Action{ProposeRetry{}}
}

// repeatAnswered sends a stalled step again, and gives its runner up when it
// stalls once more. Where the budget doesn't allow it, everything is slow, and
// the session waits for twice as long as before: its runner is alive, or its
// stream would have ended.
func (s *Session) repeatAnswered(now time.Time, allowed bool) []Action {
	if s.due.IsZero() || now.Before(s.due) {
		return nil
	}
	switch {
	case !allowed:
		s.due = now.Add(2 * s.due.Sub(s.sent))
		return nil
	case !s.resent:
		return []Action{s.send(now, s.step, true)}
	}
	return s.unreachable(s.path[s.hop].Runner)
}

func (s *Session) closeStages() []Action {
	var actions []Action
	for i, hop := range s.path {
		if i > s.hop && s.step.Position == 0 {
			break
		}
		actions = append(actions, CloseStage{Hop: hop, Close: runner.CloseSession{Session: s.config.ID, Epoch: s.epoch}})
	}
	return actions
}

func (s *Session) end() []Action {
	actions := s.closeStages()
	s.ended = true
	s.due = time.Time{}
	s.path = nil
	return actions
}
