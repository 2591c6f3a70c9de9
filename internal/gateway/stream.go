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

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/pipeline"
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
	errNoEvent           = errors.New("not an event of the stream")
	errUnresponsiveStage = errors.New("a stage of the path does not respond")
	errWrite             = errors.New("response could not be written to the client")
)

// stream is a streaming request in flight.
type stream struct {
	gateway *Gateway
	call    *call
	writer  http.ResponseWriter
	flusher *http.ResponseController

	// mu guards the fields that the search for another path reads (see pathRequest). Only the
	// goroutine of the request changes them.
	mu             sync.Mutex
	arrived        bool                          // a backend server has got the request
	searches       int                           // for a peer, that may have run the request
	ran            map[deployment.BackendID]bool // first stages that ran the request or may have run it
	lastEventID    int64                         // last event that was written to the client, or that its request named
	hasLastEventID bool
	// clientEventID is the event that the client's request named, if clientNamedEvent is set.
	clientEventID    int64
	clientNamedEvent bool
	admitted         *admission.Request // the last one that got a path from the queue, nil without one
	// headerWritten is set once the response header was passed to the ResponseWriter,
	// perhaps not flushed yet. From then on no error response is possible.
	headerWritten    bool
	lastEventAt      time.Time
	admittedAt       time.Time     // when it first got a path, zero before
	timeToFirstEvent time.Duration // 0 before the first event
	longestPause     time.Duration // between two events
	notRunCause      error         // why no attempt has run, nil once one may have
	brokenBy         breakCause    // of the last attempt
	// answeredBy is the first stage whose response the current attempt returns.
	answeredBy deployment.Incarnation
	next       pathSuccessor // for which the last attempt was left, nil if none
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
	if id, err := strconv.ParseInt(c.request.Header.Get(platform.HeaderLastEventID), 10, 64); err == nil {
		s.lastEventID, s.hasLastEventID = id, true
		s.clientEventID, s.clientNamedEvent = id, true
	}
	if c.relayed != nil {
		for _, id := range c.relayed.ran {
			s.ran[id] = true
		}
	}
	g.estimateSize(c.started, c)
	outcome, cause := s.run(ctx)
	s.recordSize(time.Now(), outcome)
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
		if outcome == streamComplete && !s.admittedAt.IsZero() {
			g.queue(c.service.Name).recordAnswer(time.Since(s.admittedAt))
		}
	case streamTruncated:
		g.logEnd(c, http.StatusOK, "stream-cut", append(s.timingFields(), zap.NamedError("cause", cause))...)
		g.Metrics.countFailure("stream-cut")
		g.Metrics.countCut(s.brokenBy)
		panic(http.ErrAbortHandler) // closes the connection, so that the response can't be mistaken for a complete one
	case streamNotRun:
		g.respondError(s.writer, c, notRunResponse(cause))
	case streamUnknown:
		response := unknownOutcomeResponse(ctx, cause)
		response.ran = s.ranServers()
		g.respondError(s.writer, c, response)
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
	var noPeer *noPeerError
	if errors.As(cause, &noPeer) {
		return noPeer.retryAfter
	}
	var refused *refusedError
	if errors.As(cause, &refused) && refused.RetryAfter > 0 {
		return refused.RetryAfter
	}
	var limitReached *limitReachedError
	if errors.As(cause, &limitReached) {
		return limitReached.retryAfter
	}
	var wait *serversWaitError
	if errors.As(cause, &wait) {
		return wait.retryAfter
	}
	return backendRetryAfter
}

// run sends attempts until the stream is complete or no retry is allowed.
func (s *stream) run(ctx context.Context) (streamOutcome, error) {
	s.notRunCause = errNoPath
	defer s.releaseNext()
	for {
		outcome, err := s.attemptNext(ctx)
		if err == nil {
			return outcome, nil
		}
		if !s.shouldRetry(ctx, err) {
			return s.failed(err)
		}
	}
}

// attemptNext makes the next attempt: along the path for which the last one was left, or else at
// a peer if the servers can't be reached from here, or else along a path for which it waits.
func (s *stream) attemptNext(ctx context.Context) (streamOutcome, error) {
	next, err := s.takeNext()
	if err != nil {
		return 0, &unreservedError{cause: err}
	}
	switch next := next.(type) {
	case *reservation:
		return s.attempt(ctx, *next)
	case *relayedAnswer:
		return s.followPeer(ctx, next)
	}
	if s.gateway.mustRelay(time.Now(), s.call) {
		return s.relay(ctx)
	}
	request := s.pathRequest()
	reserved, err := s.gateway.queue(s.call.service.Name).acquire(ctx, request.admissionRequest(), &request)
	if err != nil {
		return 0, &unreservedError{cause: err}
	}
	if s.admittedAt.IsZero() {
		s.admittedAt = time.Now()
	}
	return s.attempt(ctx, reserved)
}

// unreservedError reports that there was no path for an attempt, which was not made.
type unreservedError struct{ cause error }

func (e *unreservedError) Error() string { return e.cause.Error() }

func (e *unreservedError) Unwrap() error { return e.cause }

// takeNext returns what the last attempt was left for, nil if there is nothing or it is of no
// use any more. The error is a *heldBackError.
func (s *stream) takeNext() (pathSuccessor, error) {
	next := s.next
	s.next = nil
	if next == nil {
		return nil, nil
	}
	now := time.Now()
	if err := s.gateway.ends.admit(now, s.call); err != nil {
		next.release(now)
		return nil, err
	}
	if reserved, ok := next.(*reservation); ok && !s.mayGoOn(now, reserved.path) {
		next.release(now)
		return nil, nil
	}
	return next, nil
}

// mayGoOn reports whether the stages of a reserved path are still listed, and the first one takes
// requests.
func (s *stream) mayGoOn(now time.Time, path pipeline.Path) bool {
	return s.gateway.Fleet.Listed(path) && s.gateway.Fleet.TakesRequests(now, path.IDs[0])
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
	if ctx.Err() != nil || errors.Is(cause, errWrite) || s.call.attempts >= maxStreamAttempts || !s.mayTryAgain(cause) {
		return false
	}
	if s.notRunCause != nil {
		return true
	}
	return s.call.decision.Route.Resumable
}

// mayTryAgain reports whether another attempt may have another result. Without a path there is
// none, unless the servers have come to be out of reach and a peer may take the request, or are
// within reach again.
func (s *stream) mayTryAgain(cause error) bool {
	var unreserved *unreservedError
	var noPeer *noPeerError
	var refused *refusedError
	switch {
	case heldBackOf(cause) != nil, errors.As(cause, &refused) && refused.final():
		return false
	case errors.Is(cause, errBudgetSpent):
		return false
	case errors.As(cause, &unreserved):
		return errors.Is(cause, errCutOff) && s.call.relayed == nil
	case errors.As(cause, &noPeer):
		return !s.gateway.mustRelay(time.Now(), s.call)
	}
	return true
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
	request := pathRequest{
		gateway: s.gateway, call: s.call, ran: maps.Clone(s.ran), resumed: s.headerWritten, fixed: s.headerWritten && s.call.relayed != nil,
		arrived: s.arrived, attempts: s.call.attempts + s.searches, stream: s,
		lastEventID: s.lastEventID, hasLastEventID: s.hasLastEventID, lastEventAt: s.lastEventAt,
	}
	if s.call.relayed != nil {
		request.resumed = request.resumed || s.call.relayed.resumed
	}
	return request
}

// timingFields returns the log fields on the stream's delays.
func (s *stream) timingFields() []zap.Field {
	return []zap.Field{
		zap.Int64("last-event", s.lastEventID), zap.Duration("first-event-ms", s.timeToFirstEvent), zap.Duration("longest-pause-ms", s.longestPause),
		zap.Duration("since-event-ms", time.Since(s.lastEventAt)), zap.String("broken-by", string(s.brokenBy)),
	}
}
