package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// maxStreamAttempts bounds the attempts of a stream, including rejected ones.
	maxStreamAttempts = 8
	// minEventTimeout, eventTimeoutTargets (multiples of the target latency) and
	// eventTimeoutGaps (multiples of the target gap between events) determine how long
	// a client is assumed to wait for the next event: the longest of the three.
	minEventTimeout     = 2 * time.Second
	eventTimeoutTargets = 4
	eventTimeoutGaps    = 8
	// eventTimeoutFraction is the part of that time within which an attempt must start.
	eventTimeoutFraction = 0.9
	// slowRejectionTime separates two kinds of rejections: a later one means that the
	// request waited for an unresponsive stage, an earlier one that capacity is lacking or
	// that the stage was replaced or holds other layers.
	slowRejectionTime = time.Second
)

var (
	errNoPath            = errors.New("no path covers all layers")
	errBudgetSpent       = errors.New("the budget of retries is spent")
	errEventOrder        = errors.New("event id out of sequence")
	errUnresponsiveStage = errors.New("a stage of the path does not respond")
	errWrite             = errors.New("response could not be written to the client")
)

// stream is a streaming request in flight.
type stream struct {
	gateway *Gateway
	call    *call
	writer  http.ResponseWriter
	flusher *http.ResponseController

	// mu guards ran, headerWritten, lastEventAt and the attempts of the call, which only the
	// goroutine of the request changes, against the search for another path.
	mu             sync.Mutex
	ran            map[deployment.BackendID]bool // first stages that ran the request or may have run it
	lastEventID    int64                         // last event that was written to the client, or that its request named
	hasLastEventID bool
	// headerWritten is set once the response header was passed to the ResponseWriter,
	// perhaps not flushed yet. From then on no error response is possible.
	headerWritten    bool
	lastEventAt      time.Time
	timeToFirstEvent time.Duration // 0 before the first event
	longestPause     time.Duration // between two events
	notRunCause      error         // why no attempt has run, nil once one may have
	brokenBy         breakCause    // of the last attempt
	next             *reservation  // for which the last attempt was left, nil if none
}

// streamOutcome is how a stream ended for the client.
type streamOutcome int

const (
	streamComplete streamOutcome = iota
	streamTruncated
	streamNotRun
	streamUnknown
	streamErrorStatus // a response with a status other than 200 was forwarded
)

func (g *Gateway) serveStream(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	s := &stream{
		gateway: g, call: c, writer: w, flusher: http.NewResponseController(w),
		ran: map[deployment.BackendID]bool{}, lastEventAt: c.started, brokenBy: neverBroken,
	}
	if id, err := strconv.ParseInt(r.Header.Get(platform.HeaderLastEventID), 10, 64); err == nil {
		s.lastEventID, s.hasLastEventID = id, true
	}
	outcome, cause := s.run(ctx)
	s.finish(ctx, outcome, cause)
}

// finish ends the response to the client.
func (s *stream) finish(ctx context.Context, outcome streamOutcome, cause error) {
	g, c := s.gateway, s.call
	if errors.Is(ctx.Err(), context.Canceled) && outcome != streamComplete {
		s.clientDisconnected(cause)
	}
	switch outcome {
	case streamComplete, streamErrorStatus:
		g.logEnd(c, http.StatusOK, "answered", s.timingFields()...)
		g.Metrics.observeResponse(c, time.Now())
	case streamTruncated:
		g.logEnd(c, http.StatusOK, "stream-cut", append(s.timingFields(), zap.NamedError("cause", cause))...)
		g.Metrics.countFailure("stream-cut")
		g.Metrics.countCut(s.brokenBy)
		panic(http.ErrAbortHandler) // closes the connection, so that the response can't be mistaken for a complete one
	case streamNotRun:
		g.respondError(s.writer, c, notRunResponse(cause))
	case streamUnknown:
		g.respondError(s.writer, c, unknownOutcomeResponse(ctx, cause))
	}
}

// clientDisconnected ends a stream whose client has closed its connection. Nothing
// more is written.
func (s *stream) clientDisconnected(cause error) {
	s.gateway.logEnd(s.call, 0, "client-left", append(s.timingFields(), zap.NamedError("cause", cause))...)
	s.gateway.Metrics.countFailure("client-left")
	panic(http.ErrAbortHandler)
}

// retryAfter returns the time after which the client should retry.
func retryAfter(cause error) time.Duration {
	var noCapacity *noCapacityError
	if errors.As(cause, &noCapacity) {
		return noCapacity.retryAfter
	}
	var limitReached *limitReachedError
	if errors.As(cause, &limitReached) {
		return limitReached.retryAfter
	}
	return backendRetryAfter
}

// run sends attempts until the stream is complete or no retry is allowed.
func (s *stream) run(ctx context.Context) (streamOutcome, error) {
	s.notRunCause = errNoPath
	defer s.releaseNext()
	for {
		reserved, err := s.reserveNext(ctx)
		if err != nil {
			return s.failed(err)
		}
		outcome, err := s.attempt(ctx, reserved)
		if err == nil {
			return outcome, nil
		}
		if !s.shouldRetry(ctx, err) {
			return s.failed(err)
		}
	}
}

// reserveNext returns the path for which the last attempt was left, or else waits for one.
func (s *stream) reserveNext(ctx context.Context) (reservation, error) {
	next := s.next
	s.next = nil
	if next != nil && s.gateway.Fleet.Listed(next.path) {
		if err := s.gateway.ends.admit(time.Now(), s.call); err != nil {
			next.release(time.Now())
			return reservation{}, err
		}
		return *next, nil
	}
	if next != nil {
		next.release(time.Now())
	}
	request := s.pathRequest()
	return s.gateway.queue(s.call.service.Name).acquire(ctx, request.admissionRequest(), &request)
}

// releaseNext gives a path back that the stream no longer needs.
func (s *stream) releaseNext() {
	if s.next != nil {
		s.next.release(time.Now())
	}
}

// failed returns the outcome of a stream that is not retried.
func (s *stream) failed(cause error) (streamOutcome, error) {
	switch {
	case s.headerWritten:
		return streamTruncated, cause
	case s.notRunCause != nil:
		return streamNotRun, errors.Join(cause, s.notRunCause)
	}
	return streamUnknown, cause
}

// shouldRetry reports whether to retry a stream that was rejected or broke off.
func (s *stream) shouldRetry(ctx context.Context, cause error) bool {
	if ctx.Err() != nil || errors.Is(cause, errWrite) || s.call.attempts >= maxStreamAttempts {
		return false
	}
	if s.notRunCause != nil {
		return true
	}
	return s.call.decision.Route.Resumable
}

// eventTimeout returns how long after the last event, or the arrival of the request, the
// next attempt must start: 0.9 of the time that the client is assumed to wait.
func eventTimeout(route *deployment.Route) time.Duration {
	timeout := max(minEventTimeout, eventTimeoutTargets*route.TargetLatency, eventTimeoutGaps*route.TargetEventGap)
	return time.Duration(eventTimeoutFraction * float64(timeout))
}

// pathRequest returns what to ask for as the next path of the stream.
func (s *stream) pathRequest() pathRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return pathRequest{gateway: s.gateway, call: s.call, ran: maps.Clone(s.ran), resumed: s.headerWritten, attempts: s.call.attempts, lastEventAt: s.lastEventAt}
}

// timingFields returns the log fields on the stream's delays.
func (s *stream) timingFields() []zap.Field {
	return []zap.Field{
		zap.Int64("last-event", s.lastEventID), zap.Duration("first-event-ms", s.timeToFirstEvent), zap.Duration("longest-pause-ms", s.longestPause),
		zap.Duration("since-event-ms", time.Since(s.lastEventAt)), zap.String("broken-by", string(s.brokenBy)),
	}
}
