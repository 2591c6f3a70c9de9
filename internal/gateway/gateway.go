// Package gateway takes the requests of callers on the users' platform, forwards
// them to backend servers and returns the answers.
//
// Usage: serve a Gateway on the front address:
//
//	g := gateway.New(gateway.Config{...})
//	go g.MonitorStreams(ctx)
//	server := &http.Server{Handler: g}
//
// The outcome that a caller gets follows from what is known: 503 only where no
// backend server has run the request or may still do so, 502 or 504 otherwise.
// A whole answer is returned unchanged; one that breaks off ends with a closed
// connection, so that it can't look whole.
package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

// Config is what a Gateway works with.
type Config struct {
	Settings      deployment.Settings
	RoutingTable  *routing.ActiveTable
	Fleet         *backend.Fleet
	BackendClient *platform.BackendClient
	Metrics       *Metrics
	Logger        *zap.Logger
	// OnBackendCrash is told of each request that a backend server broke off.
	OnBackendCrash func(request engine.Fingerprint, at deployment.BackendID)
	// OnSlowdownMeasured is told of each pace that a backend server was asked for.
	OnSlowdownMeasured func(id deployment.BackendID, pace float64)
}

// Gateway serves callers.
type Gateway struct {
	Config
	exchanger *backend.Transport
	watch     *watch
	crashes   *crashes

	mu       sync.Mutex
	services map[deployment.ServiceName]*serviceState
	retries  retrybudget.Bounds
	// instances, this one included, share the budgets of retries.
	instances int
	started   time.Time
}

// serviceState is what the requests for a service share.
type serviceState struct {
	budget *retrybudget.WindowBudget
	queue  *queue
}

// New returns a gateway.
func New(config Config) *Gateway {
	return &Gateway{
		Config:    config,
		exchanger: backend.NewTransport(),
		watch:     newWatch(config),
		crashes:   newCrashes(),
		services:  map[deployment.ServiceName]*serviceState{},
		retries:   retryBounds(config.Settings),
		instances: mostInstances,
		started:   time.Now(),
	}
}

// mostInstances is taken for the number of instances that share a budget of retries
// before it is known.
const mostInstances = 12

func retryBounds(settings deployment.Settings) retrybudget.Bounds {
	return retrybudget.Bounds{Ratio: settings.RetryRatio, Reserve: float64(settings.RetryReserve), Window: settings.RetryWindow}
}

func (g *Gateway) service(name deployment.ServiceName) *serviceState {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, ok := g.services[name]
	if !ok {
		state = &serviceState{budget: retrybudget.NewWindowBudget(g.started, g.retries, g.instances), queue: newQueue()}
		g.services[name] = state
	}
	return state
}

func (g *Gateway) budget(name deployment.ServiceName) *retrybudget.WindowBudget {
	return g.service(name).budget
}

func (g *Gateway) queue(name deployment.ServiceName) *queue { return g.service(name).queue }

// SetInstanceCount tells how many instances, this one included, share the budgets.
func (g *Gateway) SetInstanceCount(count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.instances = count
	for _, state := range g.services {
		state.budget.SetInstanceCount(count)
	}
}

// SetRetryBudget takes the bounds on retries of settings that have changed.
func (g *Gateway) SetRetryBudget(now time.Time, settings deployment.Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retries = retryBounds(settings)
	for _, state := range g.services {
		state.budget.SetBounds(now, g.retries)
	}
}

// call is one request of a caller on its way.
type call struct {
	id       string
	started  time.Time
	deadline time.Time // the earlier of the caller's and the route's
	decision routing.Decision
	service  *deployment.Service
	version  deployment.Version
	request  backend.Request
	tries    int // sends, also such that did not run
	// fingerprint is that of the request, to find the ones that crash who runs them.
	fingerprint engine.Fingerprint
}

func (c *call) left(now time.Time) time.Duration { return c.deadline.Sub(now) }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c, refusal := g.accept(w, r, now)
	if refusal != nil {
		g.refuse(w, c, *refusal)
		return
	}
	g.budget(c.service.Name).RecordRequest(now)
	if c.service.Engine != nil && c.decision.Route.Kind == deployment.Streaming {
		g.serveStream(w, r, c)
		return
	}
	g.servePlain(w, r, c)
}

// defaultDeadline holds for requests that name none on routes without a timeout.
const defaultDeadline = 20 * time.Second

// accept reads a request and decides where it goes. A refusal says why it goes
// nowhere.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*call, *refusal) {
	c := &call{id: r.Header.Get(platform.HeaderRequestID), started: now}
	table, ok := g.RoutingTable.Load()
	if !ok {
		return c, &refusal{status: http.StatusServiceUnavailable, code: "no-configuration", after: configurationPause}
	}
	c.version = table.Version()
	if limit := table.Limits().HeaderBytes; limit > 0 && headerSize(r) > limit {
		return c, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, code: "header-too-large"}
	}
	decision, err := table.Decide(r.Host, r.URL.Path, deployment.APIKey(r.Header.Get(platform.HeaderAPIKey)))
	if err != nil {
		return c, refusalOf(err)
	}
	c.decision = decision
	if c.id == "" {
		return c, &refusal{status: http.StatusBadRequest, code: "no-request-id"}
	}
	c.deadline = now.Add(timeLeft(r.Header, decision.Route))
	body, refused := readBody(w, r, table.Limits().BodyBytes, c.deadline)
	if refused != nil {
		return c, refused
	}
	name, ok := routing.PickService(decision.Route, rand.Float64())
	if ok {
		c.service, ok = table.Service(name)
	}
	if !ok {
		return c, &refusal{status: http.StatusServiceUnavailable, code: "no-service", after: configurationPause}
	}
	c.request = backend.Request{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, ID: c.id,
		Header: forwardedHeader(r.Header, decision.Team), Body: body,
	}
	c.fingerprint = fingerprintOf(c.request, string(decision.Team))
	if g.crashes.blocked(now, c.fingerprint) {
		return c, &refusal{status: http.StatusServiceUnavailable, code: "breaks-backend-servers", after: crashMemory}
	}
	return c, nil
}

func timeLeft(header http.Header, route *deployment.Route) time.Duration {
	left := platform.ParseDeadline(header)
	if route.Timeout > 0 && (left == 0 || route.Timeout < left) {
		left = route.Timeout
	}
	if left == 0 {
		return defaultDeadline
	}
	return left
}

func refusalOf(err error) *refusal {
	var noRoute *routing.NoRouteError
	var unknownKey *routing.UnknownKeyError
	switch {
	case errors.As(err, &noRoute):
		return &refusal{status: http.StatusNotFound, code: "no-route", cause: err}
	case errors.As(err, &unknownKey):
		return &refusal{status: http.StatusUnauthorized, code: "unknown-key", cause: err}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: "no-decision", cause: err, after: configurationPause}
}
