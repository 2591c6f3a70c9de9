package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	dialTimeout = 1 * time.Second
	// MaxResponseBytes bounds the response of a plain service.
	MaxResponseBytes = 4 << 20
	// maxRecordedBody bounds the body that an outcome repeats on the log.
	maxRecordedBody = 8 << 10
	idempotencyKey  = "Idempotency-Key"

	// retryShare is the number of retries earned by one success, retryReserve
	// what is saved up.
	retryShare   = 0.1
	retryReserve = 10
	// maxAttempts bounds the tries of one idempotent call.
	maxAttempts = 3
	// A call is hedged after hedgeFactor times what calls usually take.
	hedgeFactor   = 5
	minHedgeDelay = 50 * time.Millisecond
	usualWeight   = 0.1
)

// Request is a call to a plain service.
type Request struct {
	Service     environment.ServiceName
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	// IdempotencyKey is the idempotency key that the service is given, if any.
	IdempotencyKey string
	Timeout        time.Duration
}

// Response is what the service answered.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// CallError says that no backend server answered. MaybeSent is false when none
// can have got anything of the call.
type CallError struct {
	Service   environment.ServiceName
	MaybeSent bool
	Cause     error
}

func (e *CallError) Error() string {
	return fmt.Sprintf("call to service %s failed: %v", e.Service, e.Cause)
}

func (e *CallError) Unwrap() error { return e.Cause }

// Counts is what a client has seen so far.
type Counts struct {
	Calls   uint64
	Retries uint64
	// RetriesDenied counts retries that the budget did not allow.
	RetriesDenied uint64
}

// Client calls plain services.
type Client struct {
	pooled *http.Client
	fresh  *http.Client

	mu       sync.Mutex
	backends *Balancer
	budget   *retrybudget.Budget
	// usual is how long a call takes, averaged over the latest.
	usual  time.Duration
	counts Counts
}

// NewClient returns a client in an availability zone.
func NewClient(zone instancelist.Zone) *Client {
	return &Client{
		pooled:   &http.Client{Transport: transport(false), CheckRedirect: keepRedirect},
		fresh:    &http.Client{Transport: transport(true), CheckRedirect: keepRedirect},
		backends: NewBalancer(zone),
		budget:   retrybudget.New(retryShare, retryReserve),
	}
}

// transport with fresh set opens a connection for each call: an open one may
// have gone silent, and a call that was written to it could not be repeated.
func transport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: fresh, DisableCompression: true,
		MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second,
	}
}

// keepRedirect hands a redirect on to the caller: following it could repeat a
// call.
func keepRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Counts returns what the client has seen so far.
func (c *Client) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Call makes an idempotent call. Where the retry budget allows, it is repeated
// at another backend server when the first fails, and hedged there when the
// first takes far longer than usual: an open connection may have gone silent.
// The error is a *CallError or a *NoBackendError.
func (c *Client) Call(ctx context.Context, request Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	h := hedge{client: c, request: request, tried: map[instancelist.ID]bool{}, ended: make(chan attempt, maxAttempts)}
	if err := h.start(ctx, c.pooled); err != nil {
		return Response{}, err
	}
	timer := time.NewTimer(c.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			h.again(ctx)
		case a := <-h.ended:
			h.open--
			if a.err == nil || ctx.Err() != nil {
				return a.response, a.err
			}
			h.again(ctx)
			if h.open == 0 {
				return Response{}, a.err
			}
		}
	}
}

// attempt is one try of a call that has ended.
type attempt struct {
	response Response
	err      error
}

// hedge is the tries of one idempotent call.
type hedge struct {
	client  *Client
	request Request
	tried   map[instancelist.ID]bool
	ended   chan attempt
	open    int
}

func (h *hedge) start(ctx context.Context, client *http.Client) error {
	backend, err := h.client.begin(h.request.Service, h.tried)
	if err != nil {
		return err
	}
	h.tried[backend.ID] = true
	h.open++
	go func() {
		began := time.Now()
		response, err := h.client.send(ctx, client, backend.Address, h.request)
		h.client.end(ctx, backend, time.Since(began), err)
		h.ended <- attempt{response: response, err: err}
	}()
	return nil
}

// again tries another backend server, over a new connection, where one is left
// and the budget allows.
func (h *hedge) again(ctx context.Context) {
	if len(h.tried) >= maxAttempts || !h.client.mayRetry(h.request.Service, h.tried) {
		return
	}
	_ = h.start(ctx, h.client.fresh)
}

// hedgeDelay is the time after which a call counts as far slower than usual.
func (c *Client) hedgeDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(hedgeFactor*c.usual, minHedgeDelay)
}

func (c *Client) begin(name environment.ServiceName, tried map[instancelist.ID]bool) (*Backend, error) {
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

// end accounts for a try. One that was given up because another came first
// says nothing about its backend server.
func (c *Client) end(ctx context.Context, backend *Backend, took time.Duration, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	backend.inFlight--
	switch {
	case err == nil:
		backend.ejection.RecordSuccess()
		c.budget.RecordSuccess()
		c.usual += time.Duration(usualWeight * float64(took-c.usual))
	case !errors.Is(ctx.Err(), context.Canceled):
		backend.ejection.RecordFailure(time.Now())
	}
}

// mayRetry spends a retry only where another backend server is left.
func (c *Client) mayRetry(name environment.ServiceName, tried map[instancelist.ID]bool) bool {
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
	// Without GetBody the transport never repeats the call on its own.
	outgoing.GetBody = nil
	if request.ContentType != "" {
		outgoing.Header.Set("Content-Type", request.ContentType)
	}
	if request.IdempotencyKey != "" {
		outgoing.Header.Set(idempotencyKey, request.IdempotencyKey)
	}
	incoming, err := client.Do(outgoing)
	if err != nil {
		return Response{}, &CallError{Service: request.Service, MaybeSent: connected, Cause: err}
	}
	defer func() { _ = incoming.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(incoming.Body, MaxResponseBytes+1))
	if err == nil && len(body) > MaxResponseBytes {
		err = errors.New("response too large")
	}
	if err != nil {
		return Response{}, &CallError{Service: request.Service, MaybeSent: true, Cause: err}
	}
	return Response{Status: incoming.StatusCode, ContentType: incoming.Header.Get("Content-Type"), Body: body}, nil
}

// Dispatcher sends one non-idempotent call; it implements claim.Dispatcher.
type Dispatcher struct {
	client  *Client
	request Request
	tried   map[instancelist.ID]bool
	whole   *Response
}

// NewDispatcher returns a dispatcher for a call.
func (c *Client) NewDispatcher(request Request) *Dispatcher {
	return &Dispatcher{client: c, request: request, tried: map[instancelist.ID]bool{}}
}

// Dispatch implements claim.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context) claim.DispatchResult {
	backend, err := d.client.begin(d.request.Service, d.tried)
	if err != nil {
		// All were tried; the next round may find one that is back.
		d.tried = map[instancelist.ID]bool{}
		backend, err = d.client.begin(d.request.Service, d.tried)
	}
	if err != nil {
		return claim.NotSent{}
	}
	d.tried[backend.ID] = true
	ctx, cancel := context.WithTimeout(ctx, d.request.Timeout)
	defer cancel()
	began := time.Now()
	response, err := d.client.send(ctx, d.client.fresh, backend.Address, d.request)
	d.client.end(ctx, backend, time.Since(began), err)
	var failed *CallError
	switch {
	case err == nil:
		d.whole = &response
		return claim.ResponseReceived{Response: recorded(response)}
	case errors.As(err, &failed) && failed.MaybeSent:
		return claim.ResponseLost{}
	}
	return claim.NotSent{}
}

// FullResponse returns the response that this dispatcher got, nil if none: the
// recorded one may be truncated.
func (d *Dispatcher) FullResponse() *Response {
	return d.whole
}

func recorded(r Response) claim.Response {
	kept := claim.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body}
	if len(kept.Body) > maxRecordedBody {
		kept.Body, kept.Truncated = nil, true
	}
	return kept
}

// SetBackends takes the services of the instance list.
func (c *Client) SetBackends(services []instancelist.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backends.SetBackends(services)
}
