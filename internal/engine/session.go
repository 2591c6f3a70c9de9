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
	// A step counts as stalled, and may be retried, when it takes longer than
	// stallTimeout plus stallFactor times the greater of the predicted time and the
	// time of the runner's last step of one position on this path. Each denied
	// retry at least doubles this wait. An unresponsive connection is detected
	// independently by the stream's heartbeat.
	stallTimeout = 250 * time.Millisecond
	stallFactor  = 3
	// maxPaths is the maximum number of paths that one session uses. A clearing of
	// the exclusions counts as a path too, except that one path may follow a
	// clearing that reaches the maximum. A session is rerouted from slow runners
	// only until the count reaches half of the maximum.
	maxPaths = 8
	// A step is slow when it takes longer than both minSlowStepTime and
	// slowStepFactor times the predicted time. After slowStepLimit slow steps in a
	// row on one runner, the session proposes a reroute, if the remaining tokens
	// would take longer than rerouteCost at minSlowStepTime each. rerouteCost
	// stands for the time that a reroute takes: it chooses a path and repeats the
	// prefill there with all tokens so far.
	minSlowStepTime = 50 * time.Millisecond
	slowStepFactor  = 4
	slowStepLimit   = 2
	rerouteCost     = 300 * time.Millisecond
	// After a rejected reroute, the count of slow steps restarts at
	// -rerouteBackoffSteps, which delays the next proposal.
	rerouteBackoffSteps = 8
)

// SessionConfig configures a session, which generates one answer.
type SessionConfig struct {
	ID        runner.SessionID
	Model     environment.ModelName
	Version   environment.ModelVersion
	Layers    int
	Priority  int
	Prompt    []hashmodel.Token
	MaxTokens int
}

// Session is the state machine that generates one answer. It performs no I/O:
// Handle maps an event to actions, which a driver executes. At most one step is
// outstanding, at one runner, and only a reply that matches this step is accepted.
type Session struct {
	config SessionConfig
	// tokens holds the prompt and all emitted tokens.
	tokens  []hashmodel.Token
	emitted int
	path    Path
	epoch   runner.Epoch
	hop     int
	step    runner.Step
	// due is when the outstanding step counts as stalled; zero if no step is
	// outstanding.
	due    time.Time
	sentAt time.Time
	resent bool
	// slowSteps counts the slow steps in a row on each runner of the path, and
	// stepTimes holds the time of the last step of one position there.
	slowSteps map[runner.ID]int
	stepTimes map[runner.ID]time.Duration
	// rerouteFrom is the runner that the pending ProposeReroute would avoid;
	// empty if none is pending.
	rerouteFrom runner.ID
	excluded    map[runner.ID]bool
	pathCount   int
	ended       bool
}

// NewSession returns a session that has not started. Its first actions are those
// of Start.
func NewSession(config SessionConfig) *Session {
	return &Session{
		config:   config,
		tokens:   append([]hashmodel.Token(nil), config.Prompt...),
		excluded: map[runner.ID]bool{},
	}
}

// Ended reports whether the answer has finished, failed or been canceled.
func (s *Session) Ended() bool {
	return s.ended
}

// Due returns when the session needs a Tick; zero if it needs none.
func (s *Session) Due() time.Time {
	return s.due
}

// Start returns the first action.
func (s *Session) Start() []Action {
	return []Action{s.choosePath()}
}

// Handle processes an event and returns the actions to execute, in order.
func (s *Session) Handle(now time.Time, event Event) []Action {
	if s.ended {
		if e, ok := event.(StepReplied); ok {
			return []Action{DropReply{From: e.From}}
		}
		return nil
	}
	switch e := event.(type) {
	case PathChosen:
		return s.startPath(now, e.Path)
	case NoPath:
		return s.handleNoPath()
	case StepReplied:
		return s.handleReply(now, e)
	case StreamLost:
		return s.handleStreamLost(now, e.Runner)
	case RunnerUnreachable:
		return s.handleRunnerFailure(e.Runner)
	case Tick:
		return s.handleTick(now)
	case Canceled:
		return s.end()
	case RetryDecided:
		return s.handleRetryDecision(now, e.Allowed)
	case RerouteDecided:
		return s.handleRerouteDecision(now, e.Allowed)
	case Quarantined:
		return append([]Action{Fail{Reason: FailQuarantined}}, s.end()...)
	}
	return nil
}

func (s *Session) choosePath() Action {
	s.due = time.Time{}
	s.path = nil
	return ChoosePath{Positions: len(s.tokens), Exclude: s.excluded}
}

// startPath starts a new path with the prompt and all tokens emitted so far.
func (s *Session) startPath(now time.Time, path Path) []Action {
	s.path = path
	s.pathCount++
	s.epoch++
	s.hop = 0
	s.slowSteps = map[runner.ID]int{}
	s.stepTimes = map[runner.ID]time.Duration{}
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

func (s *Session) send(now time.Time, step runner.Step, resent bool) Action {
	hop := s.path[s.hop]
	s.step = step
	s.sentAt = now
	s.resent = resent
	s.due = now.Add(stallTimeout + stallFactor*max(hop.PredictedTime, s.stepTimes[hop.Runner]))
	return SendStep{Hop: hop, Step: step}
}

func (s *Session) handleReply(now time.Time, e StepReplied) []Action {
	if !s.expects(e) {
		return []Action{DropReply{From: e.From}}
	}
	if e.Reply.Status != runner.StepOK {
		return s.reroute(e.From)
	}
	actions := s.recordStepTime(now, e.From)
	if s.hop < len(s.path)-1 {
		if len(e.Reply.Hidden) != s.step.Count() {
			return append([]Action{ReportRunnerFailure{Runner: e.From}}, s.reroute(e.From)...)
		}
		return append(actions, s.sendToNextHop(now, e.Reply.Hidden)...)
	}
	return append(actions, s.handleToken(now, e.Reply.Token)...)
}

// recordStepTime records the time of a step of one position and counts slow steps.
func (s *Session) recordStepTime(now time.Time, from runner.ID) []Action {
	if s.step.Count() != 1 {
		return nil
	}
	elapsed := now.Sub(s.sentAt)
	s.stepTimes[from] = elapsed
	if elapsed > minSlowStepTime && elapsed > slowStepFactor*s.path[s.hop].PredictedTime {
		s.slowSteps[from]++
	} else {
		s.slowSteps[from] = 0
	}
	return []Action{RecordStepTime{Runner: from, Elapsed: elapsed}}
}

// slowRunner returns a runner that the session should be rerouted from.
func (s *Session) slowRunner() (runner.ID, bool) {
	remaining := time.Duration(s.config.MaxTokens - s.emitted)
	for _, hop := range s.path {
		if s.slowSteps[hop.Runner] >= slowStepLimit && remaining*minSlowStepTime > rerouteCost && s.pathCount < maxPaths/2 {
			return hop.Runner, true
		}
	}
	return "", false
}

// expects reports whether a reply matches the outstanding step.
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

func (s *Session) sendToNextHop(now time.Time, hidden []hashmodel.Hidden) []Action {
	position := s.step.Position
	previousEnd := s.step.Range.End
	s.hop++
	step := s.newStep(position)
	if err := invariant.Check(step.Range.First == previousEnd, invariant.LayerOrder,
		"next step starts at layer %d after layer %d", step.Range.First, previousEnd-1); err != nil {
		return append([]Action{Fail{Reason: FailInvariant}}, s.end()...)
	}
	step.Hidden = hidden
	return []Action{s.send(now, step, false)}
}

func (s *Session) handleToken(now time.Time, token hashmodel.Token) []Action {
	positionsRun := int(s.step.Position) + s.step.Count()
	complete := s.step.Range.End == s.config.Layers && positionsRun == len(s.tokens)
	if err := invariant.Check(complete, invariant.LayerOrder,
		"token received after layer %d with %d of %d positions run", s.step.Range.End-1, positionsRun, len(s.tokens)); err != nil {
		return append([]Action{Fail{Reason: FailInvariant}}, s.end()...)
	}
	s.tokens = append(s.tokens, token)
	s.emitted++
	actions := []Action{Emit{Token: token}}
	if s.emitted >= s.config.MaxTokens {
		return append(append(actions, Finish{}), s.end()...)
	}
	s.hop = 0
	if slow, ok := s.slowRunner(); ok {
		s.due, s.rerouteFrom = time.Time{}, slow
		excluded := maps.Clone(s.excluded)
		excluded[slow] = true
		return append(actions, ProposeReroute{Runner: slow, Elapsed: s.stepTimes[slow], Exclude: excluded})
	}
	return append(actions, s.sendNewestToken(now))
}

// sendNewestToken sends the newest token to the first runner of the path.
func (s *Session) sendNewestToken(now time.Time) Action {
	last := len(s.tokens) - 1
	step := s.newStep(runner.Position(last))
	step.Tokens = []hashmodel.Token{s.tokens[last]}
	return s.send(now, step, false)
}

// handleRerouteDecision reroutes the session from the slow runner, or stays on the
// path and delays the next proposal.
func (s *Session) handleRerouteDecision(now time.Time, allowed bool) []Action {
	if s.rerouteFrom == "" || s.path == nil {
		return nil
	}
	slow := s.rerouteFrom
	s.rerouteFrom = ""
	if allowed {
		return s.reroute(slow)
	}
	s.slowSteps[slow] = -rerouteBackoffSteps
	return []Action{s.sendNewestToken(now)}
}

// handleStreamLost sends the outstanding step again over a new stream, once. The
// runner returns its stored reply to a repeated step, so no step executes twice.
func (s *Session) handleStreamLost(now time.Time, id runner.ID) []Action {
	if s.path == nil || s.path[s.hop].Runner != id || s.due.IsZero() {
		return nil
	}
	if s.resent {
		return s.handleRunnerFailure(id)
	}
	return []Action{s.send(now, s.step, true)}
}

func (s *Session) handleRunnerFailure(id runner.ID) []Action {
	if s.path == nil || s.path[s.hop].Runner != id {
		return nil
	}
	return append([]Action{ReportRunnerFailure{Runner: id}}, s.reroute(id)...)
}

// reroute releases the current path and requests one without the given runner.
func (s *Session) reroute(id runner.ID) []Action {
	actions := s.closeSessions()
	s.excluded[id] = true
	if s.pathCount >= maxPaths {
		return append(append(actions, Fail{Reason: FailTooManyReroutes}), s.end()...)
	}
	return append(actions, s.choosePath())
}

// handleNoPath clears the exclusions and requests a path again: an excluded runner
// may have recovered, and there may be no path without it. It fails the answer if
// no runner was excluded or the session has used maxPaths.
func (s *Session) handleNoPath() []Action {
	if len(s.excluded) > 0 && s.pathCount < maxPaths {
		s.excluded = map[runner.ID]bool{}
		s.pathCount++
		return []Action{s.choosePath()}
	}
	return append([]Action{Fail{Reason: FailNoPath}}, s.end()...)
}

func (s *Session) handleTick(now time.Time) []Action {
	if s.due.IsZero() || now.Before(s.due) {
		return nil
	}
	return []Action{ProposeRetry{}}
}

// handleRetryDecision retries a stalled step, and abandons its runner when the
// retry stalls too. If the budget denies it, which suggests that many steps are slow
// at once, the session waits for another two times its previous wait; the heartbeat
// still detects an unresponsive runner.
func (s *Session) handleRetryDecision(now time.Time, allowed bool) []Action {
	if s.due.IsZero() || now.Before(s.due) {
		return nil
	}
	switch {
	case !allowed:
		s.due = now.Add(2 * s.due.Sub(s.sentAt))
		return nil
	case !s.resent:
		return []Action{s.send(now, s.step, true)}
	}
	return s.handleRunnerFailure(s.path[s.hop].Runner)
}

func (s *Session) closeSessions() []Action {
	var actions []Action
	for i, hop := range s.path {
		// During the prefill, which starts at position 0, the runners after the
		// current one have no state of this path yet.
		if i > s.hop && s.step.Position == 0 {
			break
		}
		actions = append(actions, CloseSession{Hop: hop, Close: runner.CloseSession{Session: s.config.ID, Epoch: s.epoch}})
	}
	return actions
}

func (s *Session) end() []Action {
	actions := s.closeSessions()
	s.ended = true
	s.due = time.Time{}
	s.path = nil
	return actions
}
