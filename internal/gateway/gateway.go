// Package gateway accepts requests from clients on the users' platform, forwards
// them to backend servers and returns the responses.
//
// Usage: serve a Gateway on the front address:
//
//	g := gateway.New(gateway.Config{...})
//	go g.MonitorStreams(ctx)
//	server := &http.Server{Handler: g}
//
// Of the gateway's own error responses, 503 and 408 mean that the request has not
// run and never will, 502 and 504 that it may have. A complete, signed response of a
// backend server is returned with its status, which may be 503 too. If a stream breaks
// off after its header was written, the gateway closes the connection, so that the
// client can't mistake the truncated response for a complete one.
//
// A request is held back if backend servers have ended while they ran such requests (see
// package poison): it is rejected without being forwarded.
package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/internal/requestsize"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// Config configures a Gateway.
type Config struct {
	Settings      deployment.Settings
	RoutingTable  *routing.ActiveTable
	Fleet         *backend.Fleet
	BackendClient *platform.BackendClient
	Dial          platform.DialFunc // opens connections to backend servers
	Metrics       *Metrics
	Logger        *zap.Logger
	// Clients bounds the memory of the clients. Requests whose context carries an account of it use that.
	// With nil they are not bounded.
	Clients *clientbudget.Pool
	// Links decides whether this instance reaches the backend servers, and Peers knows those
	// that serve requests in its place. Both may be nil, and then none is relayed.
	Links *backend.Links
	Peers *relay.SharedDirectory
	// ZoneShares is set if a zone sends a share of its demand to other zones where that pays, and
	// keeps the rest. Otherwise each request takes the cheapest path over all zones.
	ZoneShares bool
	// ZoneCrossingCost is the delay that a request must be expected to save for each megabyte that
	// crosses to another zone.
	ZoneCrossingCost time.Duration
	// Leaving reports whether this instance is shutting down.
	Leaving func() bool
	// OnPoisonEvidence is called with what is new about ends of backend servers.
	OnPoisonEvidence func(evidence poison.Evidence)
	// OnSlowdownMeasured is called with each slowdown factor that a slowdown probe of
	// this instance has fetched.
	OnSlowdownMeasured func(id deployment.BackendID, factor float64)
	// OnObservation is called with what this instance observes of a stage.
	OnObservation func(id deployment.BackendID, what backend.Observation)
}

// Gateway is the HTTP handler that serves clients.
type Gateway struct {
	Config
	transport   *backend.Transport
	relayClient *relay.Client
	refusals    refusals
	monitor     *streamMonitor
	ends        *endWatch
	shares      *zoneShares
	bodyBytes   atomic.Int64 // of requests, for which memory is held
	bodyReads   *rate.Limiter
	shutdown    atomic.Pointer[Shutdown] // nil before a planned stop

	mu          sync.Mutex
	services    map[deployment.ServiceName]*serviceState
	retryBounds retrybudget.Bounds
	// instances is the number of instances, this one included, that share the retry budgets, and
	// inZone that of those in this zone.
	instances int
	inZone    int
	started   time.Time
	// invalidDemandLoggedAt bounds the log lines on invalid reports.
	invalidDemandLoggedAt time.Time
}

// serviceState is the state shared by all requests for a service.
type serviceState struct {
	budget   *retrybudget.WindowBudget
	exchange *retrybudget.Exchange
	queue    *queue
	sizes    *requestSizes
}

// New returns a Gateway. MonitorStreams must run beside it to detect stalled streams.
func New(config Config) *Gateway {
	if config.Clients == nil {
		config.Clients = clientbudget.NewPool(clientbudget.Limits{})
	}
	transport := backend.NewTransport(config.Dial)
	ends := newEndWatch(&config, transport)
	g := &Gateway{
		Config:      config,
		transport:   transport,
		relayClient: relay.NewClient(backend.NewTransport(platform.Dialer(0, platform.BackendSilence).DialContext)),
		monitor:     newStreamMonitor(config, ends),
		ends:        ends,
		shares:      newZoneShares(&config),
		bodyReads:   newReadLimiter(),
		services:    map[deployment.ServiceName]*serviceState{},
		retryBounds: retryBounds(config.Settings),
		instances:   initialInstanceCount,
		inZone:      1,
		started:     time.Now(),
	}
	g.monitor.successor = g.successor
	ends.onPeerEnd = g.RecordPeerSuspicion
	return g
}

// initialInstanceCount is the maximum expected number of instances. It is assumed for
// the shared retry budgets until SetInstanceCounts is called.
const initialInstanceCount = 12

func retryBounds(settings deployment.Settings) retrybudget.Bounds {
	return retrybudget.Bounds{Ratio: settings.RetryRatio, Reserve: float64(settings.RetryReserve), Window: settings.RetryWindow}
}

func (g *Gateway) service(name deployment.ServiceName) *serviceState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.services[name]
	if !ok {
		state = &serviceState{budget: retrybudget.NewWindowBudget(g.started, g.retryBounds, g.instances), queue: newQueue(newQueueObserver(&g.Config, name)), sizes: newRequestSizes()}
		state.exchange = retrybudget.NewExchange(state.budget, g.Settings.Instance, g.Settings.Zone)
		state.exchange.SetCounts(g.instances, g.inZone)
		g.services[name] = state
	}
	return state
}

func (g *Gateway) budget(name deployment.ServiceName) *retrybudget.WindowBudget {
	return g.service(name).budget
}

func (g *Gateway) queue(name deployment.ServiceName) *queue { return g.service(name).queue }

// SetInstanceCounts sets the number of instances that share the retry budgets, and that of those
// in this zone, both with this one.
func (g *Gateway) SetInstanceCounts(count, inZone int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances, g.inZone = count, inZone
	for _, state := range g.services {
		state.budget.SetInstanceCount(count)
		state.exchange.SetCounts(count, inZone)
	}
}

// SetRetryBudget applies the retry bounds of changed settings to all services.
func (g *Gateway) SetRetryBudget(now time.Time, settings deployment.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBounds = retryBounds(settings)
	for _, state := range g.services {
		state.budget.SetBounds(now, g.retryBounds)
	}
}

// call is a client's request in flight.
type call struct {
	id       string
	started  time.Time
	deadline time.Time // the earlier of the client's and the route's
	decision routing.Decision
	service  *deployment.Service
	version  deployment.Version
	request  backend.Request
	room     bodyRoom                    // for the body
	attempts int                         // including those that did not run
	reroutes atomic.Int64                // of the current attempt and earlier ones
	events   atomic.Int64                // that have arrived in all attempts
	stall    atomic.Pointer[stallRecord] // nil unless the stream waits for a lost stage
	size     deployment.RequestSize
	expected requestsize.Estimate // of a stream
	// priorityHeader is sent to the backend servers, empty if they need none.
	priorityHeader string
	parts          []deployment.PromptPartID // of the prompt, in order
	keys           []poison.Key
	// endedServer is set once a backend server has ended during an attempt that had not
	// begun to be answered.
	endedServer atomic.Bool
	trial       bool         // sent although it is held
	relayed     *relayedFrom // nil unless a peer has relayed the request to this instance
}

func (c *call) remaining(now time.Time) time.Duration { return c.deadline.Sub(now) }

// ServeHTTP serves one request of a client.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	state := &responseState{ResponseWriter: w}
	defer g.recoverPanic(state, r)
	g.serve(state, r)
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c, rejection := g.accept(w, r, now)
	defer c.room.close()
	if rejection != nil {
		g.respondError(w, c, *rejection)
		return
	}
	g.budget(c.service.Name).RecordRequest(now)
	g.serveAdmitted(w, r, c)
}

// serveAdmitted serves a request that was routed.
func (g *Gateway) serveAdmitted(w http.ResponseWriter, r *http.Request, c *call) {
	if c.service.Engine != nil && c.decision.Route.Kind == deployment.Streaming {
		g.serveStream(w, r, c)
		return
	}
	g.serveBuffered(w, r, c)
}

// defaultTimeout applies if neither the request nor its route sets a limit.
const defaultTimeout = 20 * time.Second

// accept reads and routes a request. If the request is rejected, the error response is
// not nil and the call holds what is known of the request so far.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *errorResponse) {
	c := &call{id: r.Header.Get(platform.HeaderRequestID), started: now, room: g.newBodyRoom(r)}
	table, ok := g.RoutingTable.Load()
	if !ok {
		return c, &errorResponse{status: http.StatusServiceUnavailable, code: "no-configuration", retryAfter: configurationRetryAfter}
	}
	c.version = table.Version()
	if limit := table.Limits().HeaderBytes; limit > 0 && headerSize(r) > limit {
		return c, &errorResponse{status: http.StatusRequestHeaderFieldsTooLarge, code: "header-too-large"}
	}
	decision, err := table.Decide(r.Host, r.URL.Path, deployment.APIKey(r.Header.Get(platform.HeaderAPIKey)))
	if err != nil {
		return c, errorResponseFor(err)
	}
	c.decision = decision
	if c.id == "" {
		return c, &errorResponse{status: http.StatusBadRequest, code: "no-request-id"}
	}
	c.deadline = now.Add(requestTimeout(r.Header, decision.Route))
	limit := table.Limits().BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return c, &errorResponse{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	body, rejection := c.readBody(w, r, limit)
	if rejection != nil {
		return c, rejection
	}
	if err := g.takenInShutdown(time.Now(), c); err != nil {
		return c, &errorResponse{status: http.StatusServiceUnavailable, code: "shutting-down", retryAfter: shutdownRetryAfter, cause: err}
	}
	name, ok := routing.PickService(decision.Route, rand.Float64())
	if ok {
		c.service, ok = table.Service(name)
	}
	if !ok {
		return c, &errorResponse{status: http.StatusServiceUnavailable, code: "no-service", retryAfter: configurationRetryAfter}
	}
	c.request = backend.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, ID: c.id,
		Header: forwardedHeader(r.Header, decision.Team), Body: body, Memory: c,
	}
	c.priorityHeader = priorityHeader(table, name, decision.Rank)
	c.size = platform.ParseRequestSize(r.Header)
	c.parts = platform.ParsePromptParts(r.Header)
	c.keys = keysOf(c)
	g.ends.admitTrial(now, c)
	if err := g.ends.admit(now, c); err != nil {
		return c, &errorResponse{status: http.StatusServiceUnavailable, code: heldBackCode, retryAfter: heldBackRetryAfter, cause: err}
	}
	return c, nil
}

func requestTimeout(header http.Header, route *deployment.Route) time.Duration {
	timeout := platform.ParseDeadline(header)
	if route.Timeout > 0 && (timeout == 0 || route.Timeout < timeout) {
		timeout = route.Timeout
	}
	if timeout == 0 {
		return defaultTimeout
	}
	return timeout
}

func errorResponseFor(err error) *errorResponse {
	var noRoute *routing.NoRouteError
	var unknownKey *routing.UnknownKeyError
	switch {
	case errors.As(err, &noRoute):
		return &errorResponse{status: http.StatusNotFound, code: "no-route", cause: err}
	case errors.As(err, &unknownKey):
		return &errorResponse{status: http.StatusUnauthorized, code: "unknown-key", cause: err}
	}
	return &errorResponse{status: http.StatusServiceUnavailable, code: "no-decision", cause: err, retryAfter: configurationRetryAfter}
}
