package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// maxResponseSize is the maximum body of a buffered response, and of an error response to a
	// streaming request; after a larger one the outcome of the request is unknown.
	maxResponseSize = 8 << 20 // bytes
	// maxBufferedAttempts bounds the attempts of a request at backend servers, including those
	// that did not run, and maxBufferedRelays how often it is relayed.
	maxBufferedAttempts = 4
	maxBufferedRelays   = 3
	// attemptTimeoutTargets is the time after which an attempt of an idempotent request is
	// left for another backend server, in multiples of the route's target latency. The attempt
	// is canceled before the next one is sent; there is no hedging.
	attemptTimeoutTargets = 3
	// nextServerInterval is the interval at which another backend server is looked for after
	// that time.
	nextServerInterval = 100 * time.Millisecond
	// minAttemptTime is the minimum time left before the deadline for another attempt.
	minAttemptTime = 10 * time.Millisecond
)

// outcome is the result of one attempt at a backend server: responded, notRun or
// unknown.
type outcome interface{ isOutcome() }

// responded is a complete response.
type responded struct {
	server deployment.Incarnation // whose response it is, zero if a peer did not tell
	status int
	header http.Header
	body   []byte
}

// notRun means that the backend server has not run the request and never will.
type notRun struct{ cause error }

// unknown means that the request may have run.
type unknown struct{ cause error }

func (responded) isOutcome() {}
func (notRun) isOutcome()    {}
func (unknown) isOutcome()   {}

var (
	errNotExecuted = errors.New("the backend server refused the request")
	errUnsigned    = errors.New("response has no signature")
	errEncoded     = errors.New("response body is encoded")
	errTooLarge    = errors.New("response or event exceeds the size limit")
)

// serveBuffered forwards a request and returns its response once it is complete.
func (g *Gateway) serveBuffered(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	b := newBufferedRequest(g, c)
	switch result := b.run(ctx).(type) {
	case responded:
		copyResponseHeader(w.Header(), result.header)
		c.markAnswered(w.Header(), result.server, b.servers)
		g.writeResponse(w, c, result)
	case notRun:
		g.respondError(w, c, notRunResponse(result.cause))
	case unknown:
		response := unknownOutcomeResponse(ctx, result.cause)
		response.ran = b.servers
		g.respondError(w, c, response)
	}
}

// unknownOutcomeResponse returns the error response for a request that may have run. If
// the client has disconnected, only the log and the metrics show the code.
func unknownOutcomeResponse(ctx context.Context, cause error) errorResponse {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return errorResponse{status: http.StatusBadGateway, code: "client-left", cause: cause}
	case ctx.Err() != nil:
		return errorResponse{status: http.StatusGatewayTimeout, code: "outcome-unknown", cause: cause}
	}
	return errorResponse{status: http.StatusBadGateway, code: "outcome-unknown", cause: cause}
}

func (g *Gateway) writeResponse(w http.ResponseWriter, c *call, response responded) {
	w.WriteHeader(response.status)
	err := c.writeBody(w, response.body)
	g.logEnd(c, response.status, "answered", zap.NamedError("write", err))
	g.Metrics.observeResponse(c, time.Now())
	var shortage *clientbudget.ShortageError
	if errors.As(err, &shortage) {
		panic(http.ErrAbortHandler) // a response that breaks off must not look complete
	}
}

// bufferedRequest is a request in flight whose response is returned as a whole.
type bufferedRequest struct {
	gateway *Gateway
	call    *call
	tried   map[deployment.BackendID]bool
	ran     int     // attempts that ran or may have run
	best    outcome // returned if no better one follows (see record)
	// next is reserved in place of the server of the last attempt, nil if none is.
	next    *bufferedReservation
	servers []deployment.BackendID // that may have run the request
	arrived bool                   // a backend server has got the request
}

var errNoBackend = errors.New("no backend server is available for the service")

// run sends attempts until the outcome of one is final. It stops earlier without another
// backend server, enough time or the retry budget, or after maxBufferedAttempts. Attempts at
// servers that can't be reached leave those at peers as they are.
func (b *bufferedRequest) run(ctx context.Context) outcome {
	b.best = notRun{cause: errNoBackend}
	defer b.releaseNext()
	attempts, relays := 0, 0
	for {
		if b.next == nil && b.gateway.mustRelay(time.Now(), b.call) {
			if relays++; relays > maxBufferedRelays || !b.relay(ctx) {
				return b.best
			}
			continue
		}
		if attempts++; attempts > maxBufferedAttempts {
			return b.best
		}
		reserved, err := b.takeNext(ctx)
		if errors.Is(err, errCutOff) && b.gateway.mustRelay(time.Now(), b.call) {
			continue
		}
		if err != nil {
			b.record(notRun{cause: err})
			return b.best
		}
		if reserved == nil && b.awaitVerdict(ctx) {
			continue
		}
		if reserved == nil {
			return b.best
		}
		b.tried[reserved.inFlight.Backend.ID] = true
		result := b.attempt(ctx, reserved)
		b.recordServer(reserved.inFlight.Backend.ID, result)
		b.record(result)
		if !b.shouldRetry(result) {
			return b.best
		}
	}
}

// record keeps the best outcome: a response before unknown before notRun, and a response
// with a status below 500 before others. Once an attempt may have run, the rejection of a
// later one must not replace it by notRun.
func (b *bufferedRequest) record(result outcome) {
	switch result := result.(type) {
	case responded:
		b.ran++
		if _, hasResponse := b.best.(responded); !hasResponse || result.status < http.StatusInternalServerError {
			b.best = result
		}
	case unknown:
		b.ran++
		if _, hasResponse := b.best.(responded); !hasResponse {
			b.best = result
		}
	case notRun:
		if b.ran == 0 {
			b.best = result
		}
	}
}

// shouldRetry reports whether to send the request to another backend server.
func (b *bufferedRequest) shouldRetry(result outcome) bool {
	route := b.call.decision.Route
	idempotent := route.Kind == deployment.Idempotent
	switch result := result.(type) {
	case responded:
		return idempotent && result.status >= http.StatusInternalServerError && b.ran < route.MaxAttempts
	case unknown:
		return idempotent && b.ran < route.MaxAttempts
	}
	return idempotent || b.ran == 0
}

func (b *bufferedRequest) attempt(ctx context.Context, reserved *bufferedReservation) outcome {
	c := b.call
	inFlight := reserved.inFlight
	c.attempts++
	clientCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request := c.request
	request.Header = c.request.Header.Clone()
	c.setAttemptHeader(request.Header, time.Now(), inFlight.Backend.ID)
	started := time.Now()
	watched := b.gateway.ends.begin(c, inFlight.Servers(), false, nil)
	arrived := b.arrived
	stop := b.leaveSlowAttempt(ctx, cancel)
	result := b.roundTrip(ctx, reserved, request)
	stop()
	b.arrived = arrived // recordServer decides on this attempt
	b.gateway.logAttempt(c, inFlight.Backend, result, time.Since(started))
	b.finishWatched(ctx, watched, result)
	inFlight.Done(time.Now(), backendResult(clientCtx, result))
	return result
}

// finishWatched ends the watch over an attempt. If the request may have run, it finds out
// whether the backend server has ended.
func (b *bufferedRequest) finishWatched(ctx context.Context, watched *watchedAttempt, result outcome) {
	now := time.Now()
	if _, complete := result.(responded); complete {
		b.gateway.ends.recordBegun(now, watched)
	}
	_, mayHaveRun := result.(unknown)
	broke := mayHaveRun && ctx.Err() == nil
	b.gateway.ends.finish(now, watched, broke)
	if broke && b.gateway.ends.checkEnds(ctx, []suspectedEnd{{server: watched.servers[0], at: now}}) {
		b.call.endedServer.Store(true)
	}
}

// backendResult returns the result that an outcome implies for the backend server's
// ejection. After the client has disconnected, it is inconclusive.
func backendResult(clientCtx context.Context, o outcome) backend.Result {
	if errors.Is(clientCtx.Err(), context.Canceled) {
		return backend.Inconclusive
	}
	switch o := o.(type) {
	case responded:
		if o.status >= http.StatusInternalServerError {
			return backend.Inconclusive // some requests fail on a healthy backend server
		}
		return backend.Succeeded
	case notRun:
		if errors.Is(o.cause, errNotExecuted) {
			return backend.Inconclusive
		}
	}
	return backend.Failed
}

// roundTrip sends one attempt and reads the complete response.
func (b *bufferedRequest) roundTrip(ctx context.Context, reserved *bufferedReservation, request backend.Request) outcome {
	inFlight := reserved.inFlight
	received := b.gateway.Metrics.countCrossing(b.gateway.crossingOfServer(b.call, inFlight.Backend), request.Body)
	response, err := b.send(ctx, reserved, request)
	countBody(response, received)
	if err != nil {
		var notSent *backend.NotSentError
		if errors.As(err, &notSent) {
			if reserved.retry {
				b.gateway.budget(b.call.service.Name).GiveBack()
			}
			return notRun{cause: err}
		}
		return unknown{cause: err}
	}
	defer response.Close()
	if load, ok := platform.ParseLoad(response.Header); ok {
		b.gateway.Fleet.SetWaiting(inFlight.Backend.ID, load.Waiting)
	}
	if backendReplaced(response.Response, inFlight.Backend.ID) {
		b.gateway.recordReplaced(time.Now(), inFlight.Backend.ID)
	} else {
		b.gateway.recordStatements(time.Now(), b.call, response.Response, inFlight.Backend.Incarnation())
	}
	if notExecuted(response.Response) {
		return notRun{cause: fmt.Errorf("%w: status %d", errNotExecuted, response.StatusCode)}
	}
	body, err := b.call.readResponse(ctx, response.Body, response.ContentLength)
	if err == nil {
		err = validateResponse(response.Response, len(body))
	}
	if err != nil {
		return unknown{cause: err}
	}
	return responded{server: inFlight.Backend.Incarnation(), status: response.StatusCode, header: response.Header, body: body}
}

// notExecuted reports whether a backend server rejected the request without executing it.
func notExecuted(response *http.Response) bool {
	return response.Header.Get(platform.HeaderNotExecuted) != "" || response.StatusCode == http.StatusMisdirectedRequest
}

// backendReplaced reports whether another backend server now has the address.
func backendReplaced(response *http.Response, expected deployment.BackendID) bool {
	id := response.Header.Get(platform.HeaderBackendID)
	return response.StatusCode == http.StatusMisdirectedRequest && id != "" && id != string(expected)
}

// validateResponse returns an error if a response did not come from a backend server
// or can't be returned to the client.
func validateResponse(response *http.Response, length int) error {
	switch {
	case response.Header.Get(platform.HeaderSignature) == "", slices.Contains(connectionOptions(response.Header), platform.HeaderSignature):
		return errUnsigned
	case response.Header.Get("Content-Encoding") != "":
		return errEncoded
	case length > maxResponseSize:
		return errTooLarge
	}
	return nil
}

// logAttempt logs the outcome of one attempt.
func (g *Gateway) logAttempt(c *call, to deployment.Backend, result outcome, duration time.Duration) {
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("backend", string(to.ID)), zap.String("address", string(to.Address)),
		zap.Int("try", c.attempts), zap.Duration("took-ms", duration),
	}
	switch result := result.(type) {
	case responded:
		fields = append(fields, zap.String("outcome", "answered"), zap.Int("status", result.status))
	case notRun:
		fields = append(fields, zap.String("outcome", "not-run"), zap.Error(result.cause))
	case unknown:
		fields = append(fields, zap.String("outcome", "unknown"), zap.Error(result.cause))
	}
	g.Logger.Info("request sent", fields...)
}
