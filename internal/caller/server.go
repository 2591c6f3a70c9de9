// Package caller serves the callers of one entry instance: answers of language
// models in the shape that they know, and calls to plain services.
//
// Usage: create a Server from the parts that do the work and serve its
// Handler:
//
//	server := caller.NewServer(caller.Config{...})
//	http.Serve(listener, server.Handler())
package caller

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/service"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes = 16 << 10
	// ServerMaxHeaderBytes is where the connection is cut without a problem.
	ServerMaxHeaderBytes = 4 * MaxHeaderBytes
	// ReadHeaderTimeout bounds how long a request's header may take to come in.
	ReadHeaderTimeout = 5 * time.Second
	// DefaultBodyTimeout is the bound that a daemon sets for a body.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultWriteTimeout is the bound that a daemon sets for unread answers.
	DefaultWriteTimeout = 10 * time.Second

	servicesPrefix = "/services/"
	expireInterval = 50 * time.Millisecond
)

// Observer gets what the metrics count.
type Observer interface {
	RequestFailed(tenant environment.TeamName, class environment.ClassName, code Code)
	FirstToken(tenant environment.TeamName, class environment.ClassName, wait time.Duration)
	BetweenTokens(tenant environment.TeamName, class environment.ClassName, gap time.Duration)
	Answer(tenant environment.TeamName, class environment.ClassName, took time.Duration)
	ServiceCall(tenant environment.TeamName, class environment.ClassName, took time.Duration)
	Outcome(answer claim.CallOutcome)
}

// Forwarder hands a call with a bound key to the instance that issued it.
type Forwarder interface {
	// Forward returns false when that instance cannot be reached.
	Forward(ctx context.Context, to KeyIssuer, call peer.ForwardRequest) (peer.ForwardResponse, bool)
}

// KeyIssuer is the run of an instance that issued a bound key.
type KeyIssuer struct {
	Instance    instancelist.ID
	Incarnation claim.Incarnation
}

// Config is what a server works with.
type Config struct {
	Instance    instancelist.ID
	Zone        instancelist.Zone
	Incarnation claim.Incarnation
	Catalog     *Catalog
	Pool        *engine.Pool
	Services    *service.Client
	// Claims runs calls whose keys stand on the log, LocalClaims those whose keys
	// are bound to this instance.
	Claims      *claim.Executor
	LocalClaims *claim.Executor
	Forwarder   Forwarder
	Observer    Observer
	Logger      *zap.Logger
	// MaxConcurrentAnswers bounds the answers that run at once.
	MaxConcurrentAnswers int
	// MaxConcurrentRequests bounds the requests that are open at once.
	MaxConcurrentRequests int
	// BodyTimeout bounds how long a request's body may take to come in.
	BodyTimeout time.Duration
	// WriteTimeout bounds how long a caller may leave an answer unread.
	WriteTimeout time.Duration
}

// Server serves callers.
type Server struct {
	config Config
	open   chan struct{}

	mu        sync.Mutex
	admission *AdmissionController
	leaving   bool
	busy      sync.WaitGroup
}

// NewServer returns a server.
func NewServer(config Config) *Server {
	return &Server{
		config:    config,
		open:      make(chan struct{}, config.MaxConcurrentRequests),
		admission: NewAdmissionController(config.MaxConcurrentAnswers),
	}
}

// Handler serves the callers' protocols.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", s.serve(s.chatCompletions)).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", s.serve(s.completions)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.serve(s.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/keys", s.serve(s.issueKey)).Methods(http.MethodPost)
	r.HandleFunc("/v1/outcomes/{key}", s.serve(s.outcome)).Methods(http.MethodGet)
	r.PathPrefix(servicesPrefix + "{service}").HandlerFunc(s.serve(s.serviceCall))
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	r.UseEncodedPath()
	return r
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	(&ProblemError{Status: http.StatusNotFound, Code: CodeNotFound, Detail: "no such path"}).write(w)
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	(&ProblemError{Status: http.StatusMethodNotAllowed, Code: CodeUnknownOperation, Detail: "the path has no such method"}).write(w)
}

// StartDraining refuses new requests; those that run go on.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Wait returns when every request has ended, or ctx has.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.busy.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetRateShares sets the part of each tenant's rate that this instance may use. An
// empty name stands for a tenant that is new here.
func (s *Server) SetRateShares(share func(environment.TeamName) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.SetRateShares(share)
}

// TakeDemand returns the requests since the last call of the tenants that asked
// most, at most limit of them.
func (s *Server) TakeDemand(limit int) map[environment.TeamName]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.TakeDemand(limit)
}

// Run turns away queued requests whose deadline has passed, until ctx ends.
func (s *Server) Run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			s.admission.Expire(now)
			s.mu.Unlock()
		}
	}
}

// call is one request of a caller.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	grant   Principal
	apiKey  string
	began   time.Time
	logger  *zap.Logger
	written bool
}

type handler func(*call) *ProblemError

// serve bounds, authenticates and logs a request around its handler.
func (s *Server) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, id: uuid.NewString(), began: time.Now()}
		w.Header().Set(requestIDHeader, c.id)
		c.logger = s.config.Logger.With(zap.String("request-id", c.id), zap.String("zone", string(s.config.Zone)))
		if problem := s.enter(); problem != nil {
			s.finish(c, problem)
			return
		}
		defer s.exit()
		problem := checkHeader(r)
		if problem == nil {
			problem = s.authenticate(c)
		}
		if problem == nil {
			problem = handle(c)
		}
		s.finish(c, problem)
	}
}

func (s *Server) enter() *ProblemError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return &ProblemError{
			Status: http.StatusServiceUnavailable, Code: CodeDraining, Detail: "this instance is leaving",
			RetryAfter: time.Second,
		}
	}
	select {
	case s.open <- struct{}{}:
		s.busy.Add(1)
		return nil
	default:
		return &ProblemError{
			Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Detail: "too many requests are open",
			RetryAfter: time.Second,
		}
	}
}

func (s *Server) exit() {
	<-s.open
	s.busy.Done()
}

func checkHeader(r *http.Request) *ProblemError {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	if size <= MaxHeaderBytes {
		return nil
	}
	return &ProblemError{
		Status: http.StatusRequestHeaderFieldsTooLarge, Code: CodeHeaderTooLarge, Detail: "the header is over 16 KiB",
	}
}

func (s *Server) authenticate(c *call) *ProblemError {
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return &ProblemError{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Detail: "send Authorization: Bearer KEY"}
	}
	stage := environment.Production
	switch c.r.Header.Get(stageHeader) {
	case "", string(environment.Production):
	case string(environment.Trial):
		stage = environment.Trial
	default:
		return &ProblemError{Status: http.StatusBadRequest, Code: CodeMalformed, Detail: stageHeader + " is neither trial nor production"}
	}
	grant, ok := s.config.Catalog.Lookup(stage, key)
	if !ok {
		return &ProblemError{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Detail: "the key belongs to no tenant of the " + string(stage) + " stage"}
	}
	c.grant, c.apiKey = grant, key
	c.logger = c.logger.With(zap.String("tenant", string(grant.Team.Name)))
	return nil
}

func (s *Server) finish(c *call, problem *ProblemError) {
	if problem == nil {
		c.logger.Debug("request served", zap.Duration("took", time.Since(c.began)))
		return
	}
	s.config.Observer.RequestFailed(c.grant.Team.Name, c.grant.Team.Class, problem.Code)
	c.logger.Info("request ended with a problem",
		zap.String("code", string(problem.Code)), zap.Int("status", problem.Status), zap.Duration("took", time.Since(c.began)))
	if c.written {
		return
	}
	if problem.Outcome == "" && strings.HasPrefix(c.r.URL.Path, servicesPrefix) {
		// Turned away before the key was looked at: this attempt never runs,
		// an earlier one under the same key may have.
		problem.Outcome = claim.OutcomeUnknown
		c.w.Header().Set(attemptHeader, attemptNotRunValue)
	}
	problem.write(c.w)
}

// readBody returns the whole body, within its bounds.
func (s *Server) readBody(c *call) ([]byte, *ProblemError) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if asMaxBytes(err, &tooLarge) {
			return nil, &ProblemError{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Detail: "the body is over 1 MiB"}
		}
		return nil, &ProblemError{Status: http.StatusBadRequest, Code: CodeMalformed, Detail: "the body did not come in whole and in time"}
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
