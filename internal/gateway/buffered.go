package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// largestAnswer bounds what is held of one answer of a plain service.
	largestAnswer = 8 << 20 // bytes
	// mostSends bounds how often a request is sent that is refused each time.
	mostSends = 4
	// hedgeTargets is after how many of its target latencies an idempotent
	// request is sent to another backend server.
	hedgeTargets = 3
	// leastTime is the least time that is worth a send.
	leastTime = 10 * time.Millisecond
)

// outcome is how one send to a backend server ended. It is one of answered,
// notRun and unknown.
type outcome interface{ isOutcome() }

// answered is a whole answer.
type answered struct {
	status int
	header http.Header
	body   []byte
}

// notRun says that the backend server has not run the request and never will.
type notRun struct{ cause error }

// unknown says that the request may have run.
type unknown struct{ cause error }

func (answered) isOutcome() {}
func (notRun) isOutcome()   {}
func (unknown) isOutcome()  {}

var (
	errNotExecuted = errors.New("the backend server refused the request")
	errUnsigned    = errors.New("the answer has no signature")
	errEncoded     = errors.New("the answer's body is encoded")
	errTooLarge    = errors.New("the answer is too large")
)

// servePlain forwards a request whose answer is returned in one piece.
func (g *Gateway) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	p := &plain{gateway: g, call: c, tried: map[deployment.BackendID]bool{}}
	switch end := p.run(ctx).(type) {
	case answered:
		g.returnAnswer(w, c, end)
	case notRun:
		g.refuse(w, c, refusal{status: http.StatusServiceUnavailable, code: "not-run", after: backendPause, cause: end.cause})
	case unknown:
		g.refuse(w, c, unknownRefusal(ctx, end.cause))
	}
}

// unknownRefusal says that a request may have run. A client that has left does not
// get it; its code tells so in the log.
func unknownRefusal(ctx context.Context, cause error) refusal {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return refusal{status: http.StatusBadGateway, code: "client-left", cause: cause}
	case ctx.Err() != nil:
		return refusal{status: http.StatusGatewayTimeout, code: "outcome-unknown", cause: cause}
	}
	return refusal{status: http.StatusBadGateway, code: "outcome-unknown", cause: cause}
}

func (g *Gateway) returnAnswer(w http.ResponseWriter, c *call, a answered) {
	copyAnswerHeader(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	g.crashes.answered(c.fingerprint)
	g.logEnd(c, a.status, "answered", zap.NamedError("write", err))
	g.Metrics.answered(c, time.Now())
}

// plain is a request to a plain service on its way.
type plain struct {
	gateway *Gateway
	call    *call
	tried   map[deployment.BackendID]bool
	ran     int     // sends that have run or may have
	best    outcome // what the caller gets if nothing better comes
}

var errNoBackend = errors.New("no backend server is listed for the service")

// run sends the request until there is an answer to return.
func (p *plain) run(ctx context.Context) outcome {
	p.best = notRun{cause: errNoBackend}
	for range mostSends {
		now := time.Now()
		if ctx.Err() != nil || p.call.left(now) < leastTime {
			return p.best
		}
		if p.call.tries > 0 && !p.gateway.budget(p.call.service.Name).Take(now, false) {
			return p.best
		}
		work, ok := p.gateway.Fleet.Pick(now, p.call.service, p.gateway.Settings.Zone, p.tried)
		if !ok {
			return p.best
		}
		p.tried[work.Backend.ID] = true
		result := p.send(ctx, work)
		p.note(result)
		if !p.again(result) {
			return p.best
		}
	}
	return p.best
}

// note keeps the outcome that tells the caller most. Once a send may have run,
// a refusal of a later one must not promise otherwise.
func (p *plain) note(result outcome) {
	switch result := result.(type) {
	case answered:
		p.ran++
		if _, was := p.best.(answered); !was || result.status < http.StatusInternalServerError {
			p.best = result
		}
	case unknown:
		p.ran++
		if _, was := p.best.(answered); !was {
			p.best = result
		}
	case notRun:
		if p.ran == 0 {
			p.best = result
		}
	}
}

// again decides whether the request goes to another backend server.
func (p *plain) again(result outcome) bool {
	route := p.call.decision.Route
	idempotent := route.Kind == deployment.Idempotent
	switch result := result.(type) {
	case answered:
		return idempotent && result.status >= http.StatusInternalServerError && p.ran < route.MaxAttempts
	case unknown:
		return idempotent && p.ran < route.MaxAttempts
	}
	return idempotent || p.ran == 0
}

func (p *plain) send(ctx context.Context, work *backend.InFlightRequest) outcome {
	c := p.call
	c.tries++
	caller := ctx
	ctx, cancel := context.WithTimeout(ctx, p.patience(time.Now()))
	defer cancel()
	request := c.request
	request.Header = c.request.Header.Clone()
	request.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(c.left(time.Now())))
	request.Header.Set(platform.HeaderExpectBackend, string(work.Backend.ID))
	started := time.Now()
	result := p.exchange(ctx, work, request)
	p.gateway.logSend(c, work.Backend, result, time.Since(started))
	if _, broke := result.(unknown); broke && ctx.Err() == nil {
		go p.gateway.checkCrash(c, work.Backend)
	}
	work.Done(time.Now(), resultOf(caller, result))
	return result
}

// patience is how long one send may take. An idempotent request that has another
// attempt leaves a backend server that does not answer.
func (p *plain) patience(now time.Time) time.Duration {
	route := p.call.decision.Route
	left := p.call.left(now)
	if route.Kind == deployment.Idempotent && p.ran+1 < route.MaxAttempts && route.TargetLatency > 0 {
		return min(left, hedgeTargets*route.TargetLatency)
	}
	return left
}

// resultOf is what an outcome says of the backend server. Once the caller has left,
// it says nothing.
func resultOf(caller context.Context, o outcome) backend.Result {
	if errors.Is(caller.Err(), context.Canceled) {
		return backend.Inconclusive
	}
	switch o := o.(type) {
	case answered:
		if o.status >= http.StatusInternalServerError {
			return backend.Inconclusive // some answers fail on a sound backend server
		}
		return backend.Succeeded
	case notRun:
		if errors.Is(o.cause, errNotExecuted) {
			return backend.Inconclusive
		}
	}
	return backend.Failed
}

// exchange sends once and reads the whole answer.
func (p *plain) exchange(ctx context.Context, work *backend.InFlightRequest, request backend.Request) outcome {
	answer, err := p.gateway.exchanger.Send(ctx, work.Backend.Address, request)
	if err != nil {
		var notSent *backend.NotSentError
		if errors.As(err, &notSent) {
			return notRun{cause: err}
		}
		return unknown{cause: err}
	}
	defer answer.Close()
	if load, ok := platform.ParseLoad(answer.Header); ok {
		p.gateway.Fleet.SetWaiting(work.Backend.ID, load.Waiting)
	}
	if otherBackend(answer.Response, work.Backend.ID) {
		p.gateway.Fleet.RemoveReplaced(work.Backend.ID)
	}
	if refused(answer.Response) {
		return notRun{cause: fmt.Errorf("%w: status %d", errNotExecuted, answer.StatusCode)}
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, largestAnswer+1))
	if err == nil {
		err = checkAnswer(answer.Response, len(body))
	}
	if err != nil {
		return unknown{cause: err}
	}
	return answered{status: answer.StatusCode, header: answer.Header, body: body}
}

// refused tells whether a backend server says that it did not run the request.
func refused(answer *http.Response) bool {
	return answer.Header.Get(platform.HeaderNotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest
}

// otherBackend tells whether another backend server has the address by now.
func otherBackend(answer *http.Response, expected deployment.BackendID) bool {
	id := answer.Header.Get(platform.HeaderBackendID)
	return answer.StatusCode == http.StatusMisdirectedRequest && id != "" && id != string(expected)
}

// checkAnswer says why an answer is not a backend server's whole answer.
func checkAnswer(answer *http.Response, length int) error {
	switch {
	case answer.Header.Get(platform.HeaderSignature) == "":
		return errUnsigned
	case answer.Header.Get("Content-Encoding") != "":
		return errEncoded
	case length > largestAnswer:
		return errTooLarge
	}
	return nil
}

// logSend writes the line of one send to a backend server.
func (g *Gateway) logSend(c *call, to deployment.Backend, result outcome, took time.Duration) {
	fields := []zap.Field{
		zap.String("request", c.id), zap.String("backend", string(to.ID)), zap.String("address", string(to.Address)),
		zap.Int("try", c.tries), zap.Duration("took-ms", took),
	}
	switch result := result.(type) {
	case answered:
		fields = append(fields, zap.String("outcome", "answered"), zap.Int("status", result.status))
	case notRun:
		fields = append(fields, zap.String("outcome", "not-run"), zap.Error(result.cause))
	case unknown:
		fields = append(fields, zap.String("outcome", "unknown"), zap.Error(result.cause))
	}
	g.Logger.Info("request sent", fields...)
}
