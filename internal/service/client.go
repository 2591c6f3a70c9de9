package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	dialTimeout = 1 * time.Second
	// MaxResponseBytes bounds the response of a plain service.
	MaxResponseBytes = 4 << 20
	// maxRecordedBodyBytes bounds the response body that is recorded in the log. A
	// larger body is left out, and the response is marked as truncated.
	maxRecordedBodyBytes = 8 << 10
	// responseMemory is the memory of all responses that are read or not closed yet, beyond a small part of each.
	responseMemory    = 64 << 20 // bytes
	idempotencyHeader = "Idempotency-Key"

	// retryRatio is the number of retries earned by one success, retryReserve the
	// most that can be saved up.
	retryRatio   = 0.1
	retryReserve = 10
	// maxAttempts bounds the attempts of one idempotent call.
	maxAttempts = 3
	// A call is hedged after hedgeFactor times the mean duration of calls, but not
	// before minHedgeDelay.
	hedgeFactor   = 5
	minHedgeDelay = 50 * time.Millisecond
	// durationSmoothing is the weight of the newest sample in the mean duration.
	durationSmoothing = 0.1
)

// Request is a call to a plain service.
type Request struct {
	Service     environment.ServiceName
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// IdempotencyKey is sent to the service in the Idempotency-Key header, if set.
	IdempotencyKey string
	Timeout        time.Duration
}

// Response is the complete response of a service. Close must be called once its body is no longer used.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	release     func() // nil if nothing is held
}

// Close gives back the memory that is held for the body.
func (r *Response) Close() {
	if r.release != nil {
		r.release()
	}
}

// CallError is returned if an attempt got no complete response. MaybeSent is false if
// the backend server can't have received any part of the call.
type CallError struct {
	Service   environment.ServiceName
	MaybeSent bool
	Cause     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call to service %s failed: %v", e.Service, e.Cause)
}

func (e *CallError) Unwrap() error { return e.Cause }

// Counts are a client's totals since it was created. Calls counts attempts, including
// retries.
type Counts struct {
	Calls   uint64
	Retries uint64
	// RetriesDenied counts retries that the budget did not allow.
	RetriesDenied uint64
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	pooled   *http.Client
	unpooled *http.Client
	memory   *http1.Memory

	mu       sync.Mutex
	backends *Balancer
	budget   *retrybudget.Budget
	// meanDuration is the moving average of the duration of successful attempts.
	meanDuration time.Duration
	counts       Counts
}

// NewClient returns a client that prefers backend servers in the given availability
// zone.
func NewClient(zone instancelist.Zone) *Client {
	memory := http1.NewMemory(responseMemory)
	return &Client{
		pooled:   http1.NewClient(newTransport(false), memory),
		unpooled: http1.NewClient(newTransport(true), memory),
		memory:   memory,
		backends: NewBalancer(zone),
		budget:   retrybudget.New(retryRatio, retryReserve),
	}
}

// newTransport with disableKeepAlives opens a connection for each call: a pooled
// connection may be dead, and a non-idempotent call that was written to it could not
// be retried.
func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: disableKeepAlives, DisableCompression: true,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}
}

// Counts returns the totals so far.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Call makes an idempotent call. Where the retry budget allows, it is retried at
// another backend server if an attempt fails, and a further attempt is started there if
// there is no response after hedgeFactor times the mean duration, at least
// minHedgeDelay, for example because the first one's pooled connection is dead.
// The error is a *CallError or a *NoBackendError.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	h := hedgedCall{client: c, request: request, tried: map[instancelist.ID]bool{}, results: make(chan attemptResult, maxAttempts)}
	defer h.discard()
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	if err := h.startAttempt(ctx, c.pooled); err != nil {
		return Response{}, err
	}
	timer := time.NewTimer(c.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			h.retry(ctx)
		case result := <-h.results:
			h.inFlight--
			if result.err == nil || ctx.Err() != nil {
				return result.response, result.err
			}
			h.retry(ctx)
			if h.inFlight == 0 {
				return Response{}, result.err
			}
		}
	}
}

// attemptResult is the result of one attempt of a call.
type attemptResult struct {
	response Response
	err      error
}

// hedgedCall holds the attempts of one idempotent call.
type hedgedCall struct {
	client   *Client
	request  Request
	tried    map[instancelist.ID]bool
	results  chan attemptResult
	inFlight int
}

func (h *hedgedCall) startAttempt(ctx context.Context, client *http.Client) error {
	backend, err := h.client.acquireBackend(h.request.Service, h.tried)
	if err != nil {
		return err
	}
	h.tried[backend.ID] = true
	h.inFlight++
	go func() {
		started := time.Now()
		response, err := h.client.send(ctx, client, backend.Address, h.request)
		h.client.recordResult(ctx, backend, time.Since(started), err)
		h.results <- attemptResult{response: response, err: err}
	}()
	return nil
}

// discard closes the responses of attempts that are still in flight.
func (h *hedgedCall) discard() {
	if h.inFlight == 0 {
		return
	}
	go func() {
		for range h.inFlight {
			result := <-h.results
			result.response.Close()
		}
	}()
}

// retry starts an attempt at another backend server, over a new connection, if one is
// left and the retry budget allows it.
func (h *hedgedCall) retry(ctx context.Context) {
	if len(h.tried) >= maxAttempts || !h.client.takeRetry(h.request.Service, h.tried) {
		return
	}
	_ = h.startAttempt(ctx, h.client.unpooled)
}

// hedgeDelay returns the time after which a call is hedged.
func (c *Client) hedgeDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(hedgeFactor*c.meanDuration, minHedgeDelay)
}

func (c *Client) acquireBackend(name environment.ServiceName, tried map[instancelist.ID]bool) (*Backend, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	backend, err := c.backends.Choose(time.Now(), name, tried)
	if err != nil {
		return nil, err
	}
	backend.inFlight++
	c.counts.Calls++
	return backend, nil
}

// recordResult records the result of an attempt. A failed attempt whose context was
// canceled, because another one responded first or the API caller disconnected, does not
// count as a failure of its backend server.
func (c *Client) recordResult(ctx context.Context, backend *Backend, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	backend.inFlight--
	switch {
	case err == nil:
		backend.ejection.RecordSuccess()
		c.budget.RecordSuccess()
		c.meanDuration += time.Duration(durationSmoothing * float64(took-c.meanDuration))
	case !errors.Is(ctx.Err(), context.Canceled):
		backend.ejection.RecordFailure(time.Now())
	}
}

// takeRetry takes a retry from the budget, but only if another backend server is left.
func (c *Client) takeRetry(name environment.ServiceName, tried map[instancelist.ID]bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.backends.Choose(time.Now(), name, tried); err != nil {
		return false
	}
	if !c.budget.Take() {
		c.counts.RetriesDenied++
		return false
	}
	c.counts.Retries++
	return true
}

func (c *Client) send(ctx context.Context, client *http.Client, address string, request Request) (Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	url := "http://" + address + request.Path
	if request.Query != "" {
		url += "?" + request.Query
	}
	outgoing, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), request.Method, url, bytes.NewReader(request.Body))
	if err != nil {
		return Response{}, &CallError{Service: request.Service, Cause: err}
	}
	// Without GetBody, the transport does not retry a request with a body on its own.
	outgoing.GetBody = nil
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	if request.IdempotencyKey != "" {
		outgoing.Header.Set(idempotencyHeader, request.IdempotencyKey)
	}
	incoming, err := client.Do(outgoing) //nolint:bodyclose // ReadBody closes it
	if err != nil {
		return Response{}, &CallError{Service: request.Service, MaybeSent: connected, Cause: err}
	}
	body, release, err := c.memory.ReadBody(incoming, MaxResponseBytes)
	if err != nil {
		return Response{}, &CallError{Service: request.Service, MaybeSent: true, Cause: err}
	}
	return Response{Status: incoming.StatusCode, ContentType: incoming.Header.Get("Content-Type"), Body: body, release: release}, nil
}

// Dispatcher sends one non-idempotent call; it implements claim.Dispatcher. Close must be called once its full
// response is no longer used.
type Dispatcher struct {
	client  *Client
	request Request
	tried   map[instancelist.ID]bool

	mu           sync.Mutex
	fullResponse *Response
	closed       bool
}

// Close gives back the memory that is held for the full response, and for one that is still to come.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.fullResponse != nil {
		d.fullResponse.Close()
	}
}

// keep keeps the full response until Close is called.
func (d *Dispatcher) keep(response *Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullResponse = response
	if d.closed {
		response.Close()
	}
}

// NewDispatcher returns a dispatcher for a call.
func (c *Client) NewDispatcher(request Request) *Dispatcher {
	return &Dispatcher{client: c, request: request, tried: map[instancelist.ID]bool{}}
}

// Dispatch implements claim.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context) claim.DispatchResult {
	backend, err := d.client.acquireBackend(d.request.Service, d.tried)
	if err != nil {
		// All backend servers were tried. Start over: one may have recovered.
		d.tried = map[instancelist.ID]bool{}
		backend, err = d.client.acquireBackend(d.request.Service, d.tried)
	}
	if err != nil {
		return claim.NotSent{}
	}
	d.tried[backend.ID] = true
	ctx, cancel := context.WithTimeout(ctx, d.request.Timeout)
	defer cancel()
	started := time.Now()
	response, err := d.client.send(ctx, d.client.unpooled, backend.Address, d.request)
	d.client.recordResult(ctx, backend, time.Since(started), err)
	var failed *CallError
	switch {
	case err == nil:
		d.keep(&response)
		return claim.ResponseReceived{Response: recordedResponse(response)}
	case errors.As(err, &failed) && failed.MaybeSent:
		return claim.ResponseLost{}
	}
	return claim.NotSent{}
}

// FullResponse returns the response that this dispatcher received, nil if none. The
// recorded response may be truncated.
func (d *Dispatcher) FullResponse() *Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fullResponse
}

func recordedResponse(r Response) claim.Response {
	kept := claim.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
	if len(kept.Body) > maxRecordedBodyBytes {
		kept.Body, kept.Truncated = nil, true
	}
	return kept
}

// SetBackends replaces the backend servers by those of the instance list. The
// state of those whose ID and address did not change is kept.
func (c *Client) SetBackends(servers []instancelist.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends.SetBackends(servers)
}
