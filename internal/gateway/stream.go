package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// mostStreamSends bounds how often a stream is sent, also where it is refused.
	mostStreamSends = 8
	// shortestPatience, patienceTargets and patienceGaps bound how long a client
	// waits for the next event: the longest of a time, some target latencies and
	// some of the longest pauses on time.
	shortestPatience = 2 * time.Second
	patienceTargets  = 4
	patienceGaps     = 8
	// patienceShare is the part of it within which an event must be on its way.
	patienceShare = 0.9
	// slowRefusal tells a refusal after a stage has been waited for from one that
	// is due to a lack of room.
	slowRefusal = time.Second
)

var (
	errNoPath      = errors.New("no path runs every layer")
	errBudgetSpent = errors.New("the budget of retries is spent")
	errEventOrder  = errors.New("an event's id does not follow the last one")
	errLostStage   = errors.New("a stage of the path does not answer")
	errWrite       = errors.New("the client does not take the answer")
)

// stream is a streamed request on its way.
type stream struct {
	gateway *Gateway
	call    *call
	writer  http.ResponseWriter
	flusher *http.ResponseController

	ran       map[deployment.BackendID]bool // first stages that have run it or may have
	lastID    int64                         // last event that the client has
	hasLast   bool
	answering bool // the client has the head of the answer
	lastEvent time.Time
	firstTook time.Duration // until the first event, 0 before it
	longest   time.Duration // longest pause between two events
	notRun    error         // why the last send did not run, nil once one may have
}

// streamEnd is how a stream ended for the client.
type streamEnd int

const (
	streamWhole streamEnd = iota
	streamCut
	streamNotRun
	streamUnknown
	streamPassed // a backend server's other answer was passed on
)

func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	s := &stream{
		gateway: g, call: c, writer: w, flusher: http.NewResponseController(w),
		ran: map[deployment.BackendID]bool{}, lastEvent: c.started,
	}
	if id, err := strconv.ParseInt(r.Header.Get(platform.HeaderLastEventID), 10, 64); err == nil {
		s.lastID, s.hasLast = id, true
	}
	end, cause := s.run(ctx)
	s.finish(ctx, end, cause)
}

// finish gives the client the end of its answer.
func (s *stream) finish(ctx context.Context, end streamEnd, cause error) {
	g, c := s.gateway, s.call
	if errors.Is(ctx.Err(), context.Canceled) && end != streamWhole {
		s.clientLeft(cause)
	}
	switch end {
	case streamWhole, streamPassed:
		g.crashes.answered(c.fingerprint)
		g.logEnd(c, http.StatusOK, "answered", s.pauses()...)
		g.Metrics.answered(c, time.Now())
	case streamCut:
		g.logEnd(c, http.StatusOK, "stream-cut", append(s.pauses(), zap.NamedError("cause", cause))...)
		g.Metrics.refused("stream-cut")
		panic(http.ErrAbortHandler) // closes the connection, so that the answer can't look whole
	case streamNotRun:
		g.refuse(s.writer, c, refusal{status: http.StatusServiceUnavailable, code: "not-run", after: pauseAfter(cause), cause: cause})
	case streamUnknown:
		g.refuse(s.writer, c, unknownRefusal(ctx, cause))
	}
}

// clientLeft ends a stream whose client has closed its connection. Nobody reads an
// answer.
func (s *stream) clientLeft(cause error) {
	s.gateway.logEnd(s.call, 0, "client-left", append(s.pauses(), zap.NamedError("cause", cause))...)
	s.gateway.Metrics.refused("client-left")
	panic(http.ErrAbortHandler)
}

// pauseAfter is the pause before a client should come back.
func pauseAfter(cause error) time.Duration {
	var full *noCapacityError
	if errors.As(cause, &full) {
		return full.pause
	}
	return backendPause
}

// run sends the stream until it is whole or there is nothing left to try.
func (s *stream) run(ctx context.Context) (streamEnd, error) {
	s.notRun = errNoPath
	for {
		found, err := s.gateway.queue(s.call.service.Name).take(ctx, s.admission(), s)
		if err != nil {
			return s.gaveUp(err)
		}
		end, err := s.send(ctx, found)
		if err == nil {
			return end, nil
		}
		if !s.again(ctx, err) {
			return s.gaveUp(err)
		}
	}
}

// gaveUp is the end of a stream that is not tried again.
func (s *stream) gaveUp(cause error) (streamEnd, error) {
	switch {
	case s.answering:
		return streamCut, cause
	case s.notRun != nil:
		return streamNotRun, errors.Join(cause, s.notRun)
	}
	return streamUnknown, cause
}

// again decides whether a stream that was refused or broke off is sent once more.
func (s *stream) again(ctx context.Context, cause error) bool {
	if ctx.Err() != nil || errors.Is(cause, errWrite) || s.call.tries >= mostStreamSends {
		return false
	}
	if s.notRun != nil {
		return true
	}
	return s.call.decision.Route.Resumable
}

// patience is how long a client is left without an event before it is taken to have
// given up.
func patience(route *deployment.Route) time.Duration {
	longest := max(shortestPatience, patienceTargets*route.TargetLatency, patienceGaps*route.TargetEventGap)
	return time.Duration(patienceShare * float64(longest))
}

// admission is what decides about the stream's turn.
func (s *stream) admission() *admission.Request {
	return &admission.Request{
		Resumed: s.answering, Priority: s.call.decision.Priority, Arrived: s.call.started,
		TargetLatency: s.call.decision.Route.TargetLatency, Deadline: s.lastEvent.Add(patience(s.call.decision.Route)),
	}
}

// ready tells whether the stream may be sent: the first time always, and again
// within the budget of retries.
func (s *stream) ready(now time.Time) error {
	if s.call.tries == 0 || s.gateway.budget(s.call.service.Name).CanTake(now, s.answering) {
		return nil
	}
	return errBudgetSpent
}

// place chooses a path now and counts the stream on it.
func (s *stream) place(now time.Time) (place, error) {
	path, err := s.path(now)
	if err != nil {
		return place{}, err
	}
	if s.call.tries > 0 && !s.gateway.budget(s.call.service.Name).Take(now, s.answering) {
		return place{}, errBudgetSpent
	}
	work, ok := s.gateway.Fleet.Begin(path)
	if !ok {
		return place{}, errNoPath
	}
	return place{path: path, work: work}, nil
}

// path chooses a path now. Once as many first stages have run the request as its
// route allows, only these may be first again.
func (s *stream) path(now time.Time) (pipeline.Path, error) {
	service := s.call.service
	stages := s.gateway.Fleet.Stages(now, service)
	if len(s.ran) >= s.call.decision.Route.MaxAttempts {
		stages = s.allowed(stages)
	}
	path, ok := pipeline.Find(service.Engine, stages, s.gateway.Settings.Zone)
	if !ok {
		return path, &noPathError{missing: pipeline.MissingLayers(service.Engine, stages), stages: len(stages), ran: len(s.ran)}
	}
	problem := pipeline.Check(service.Engine, path.Hops)
	return path, invariant.Check(problem == "", invariant.LayerOrder, "%s", problem)
}

// noPathError says which layers no stage that may be used holds.
type noPathError struct {
	missing []deployment.LayerRange
	stages  int
	ran     int // first stages that the stream is bound to
}

func (e *noPathError) Error() string {
	return fmt.Sprintf("no path: layers %v are held by none of %d usable stages, bound to %d first ones", e.missing, e.stages, e.ran)
}

func (s *stream) allowed(stages []pipeline.Stage) []pipeline.Stage {
	var allowed []pipeline.Stage
	for _, stage := range stages {
		if stage.Layers.First > 0 || s.ran[stage.ID] {
			allowed = append(allowed, stage)
		}
	}
	return allowed
}

// pauses are the log fields that tell how late a stream was.
func (s *stream) pauses() []zap.Field {
	return []zap.Field{
		zap.Int64("last-event", s.lastID), zap.Duration("first-event-ms", s.firstTook), zap.Duration("longest-pause-ms", s.longest),
	}
}
