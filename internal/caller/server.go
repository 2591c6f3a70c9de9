// Package caller is the HTTP API of an entry instance for callers: completions of
// language models in the format of the chat completions API (/v1/chat/completions,
// /v1/completions, /v1/models), and calls to plain services (/services/NAME/...; see
// package service).
//
// Usage: create a Server, serve its Handler, and run Run beside it, which rejects
// queued requests whose deadline has passed:
//
//	server := caller.NewServer(caller.Config{...})
//	go server.Run(ctx)
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
	// ServerMaxHeaderBytes is the header limit of the http.Server. A request beyond
	// it is rejected by net/http, without a problem response.
	ServerMaxHeaderBytes = 4 * MaxHeaderBytes
	// ReadHeaderTimeout bounds the time to read a request's header.
	ReadHeaderTimeout = 5 * time.Second
	// DefaultBodyTimeout is the BodyTimeout that the daemon sets.
	DefaultBodyTimeout = 10 * time.Second
	// DefaultWriteTimeout is the WriteTimeout that the daemon sets.
	DefaultWriteTimeout = 10 * time.Second

	servicesPrefix = "/services/"
	expireInterval = 50 * time.Millisecond
)

// Observer receives the events that are counted in metrics.
type Observer interface {
	RequestFailed(team environment.TeamName, class environment.ClassName, code Code)
	FirstToken(team environment.TeamName, class environment.ClassName, wait time.Duration)
	BetweenTokens(team environment.TeamName, class environment.ClassName, gap time.Duration)
	Answer(team environment.TeamName, class environment.ClassName, took time.Duration)
	ServiceCall(team environment.TeamName, class environment.ClassName, took time.Duration)
	Outcome(outcome claim.CallOutcome)
}

// Forwarder forwards a call with a bound key to the instance that issued the key.
type Forwarder interface {
	// Forward returns false if that instance cannot be reached.
	Forward(ctx context.Context, to KeyIssuer, call peer.ForwardRequest) (peer.ForwardResponse, bool)
}

// KeyIssuer is the instance and incarnation that issued a bound key.
type KeyIssuer struct {
	Instance    instancelist.ID
	Incarnation claim.Incarnation
}

// Config configures a Server.
type Config struct {
	Instance    instancelist.ID
	Zone        instancelist.Zone
	Incarnation claim.Incarnation
	Catalog     *Catalog
	Pool        *engine.Pool
	Services    *service.Client
	// Claims runs calls whose keys are recorded in the log, LocalClaims those whose
	// keys are bound to this incarnation of the instance.
	Claims      *claim.Executor
	LocalClaims *claim.Executor
	Forwarder   Forwarder
	Observer    Observer
	Logger      *zap.Logger
	// MaxConcurrentAnswers bounds the completions that run at once.
	MaxConcurrentAnswers int
	// MaxConcurrentRequests bounds the requests of any kind that are open at once,
	// including queued ones.
	MaxConcurrentRequests int
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time that a write of a stream may block because the
	// client does not read.
	WriteTimeout time.Duration
}

// Server handles the requests of callers.
type Server struct {
	config       Config
	openRequests chan struct{}

	mu        sync.Mutex
	admission *AdmissionController
	draining  bool
	inFlight  sync.WaitGroup
}

// NewServer returns a server that accepts requests as soon as its Handler is served.
func NewServer(config Config) *Server {
	return &Server{
		config:       config,
		openRequests: make(chan struct{}, config.MaxConcurrentRequests),
		admission:    NewAdmissionController(config.MaxConcurrentAnswers),
	}
}

// Handler returns the handler for all paths of the API.
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

// StartDraining makes the server reject new requests. Requests in flight continue.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Wait returns when no request is in flight. If ctx ends first, it returns its error.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetQuotaFractions sets the fraction of each team's limits, for the rate and for
// concurrent requests, that this instance may use. fraction("") is the one for teams
// that have no state on this instance yet.
func (s *Server) SetQuotaFractions(fraction func(environment.TeamName) float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.SetQuotaFractions(fraction)
}

// TakeDemand returns the number of requests since the last call by team, for at most
// limit teams, those with the most requests. It resets the counts of all teams.
func (s *Server) TakeDemand(limit int) map[environment.TeamName]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.TakeDemand(limit)
}

// Run rejects queued requests whose deadline has passed, until ctx ends.
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

// apiRequest is one HTTP request to the API.
type apiRequest struct {
	w         http.ResponseWriter
	r         *http.Request
	id        string
	principal Principal
	apiKey    string
	started   time.Time
	logger    *zap.Logger
	written   bool
}

type handler func(*apiRequest) *ProblemError

// serve wraps a handler: it limits the open requests and the header size,
// authenticates the caller, and logs how the request ended.
func (s *Server) serve(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := &apiRequest{w: w, r: r, id: uuid.NewString(), started: time.Now()}
		w.Header().Set(requestIDHeader, req.id)
		req.logger = s.config.Logger.With(zap.String("request-id", req.id), zap.String("zone", string(s.config.Zone)))
		if problem := s.acquire(); problem != nil {
			s.finish(req, problem)
			return
		}
		defer s.release()
		problem := checkHeader(r)
		if problem == nil {
			problem = s.authenticate(req)
		}
		if problem == nil {
			problem = handle(req)
		}
		s.finish(req, problem)
	}
}

func (s *Server) acquire() *ProblemError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return &ProblemError{
			Status: http.StatusServiceUnavailable, Code: CodeDraining, Detail: "this instance is leaving",
			RetryAfter: time.Second,
		}
	}
	select {
	case s.openRequests <- struct{}{}:
		s.inFlight.Add(1)
		return nil
	default:
		return &ProblemError{
			Status: http.StatusServiceUnavailable, Code: CodeOverloaded, Detail: "too many requests are open",
			RetryAfter: time.Second,
		}
	}
}

func (s *Server) release() {
	<-s.openRequests
	s.inFlight.Done()
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

func (s *Server) authenticate(req *apiRequest) *ProblemError {
	key, ok := strings.CutPrefix(req.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return &ProblemError{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Detail: "send Authorization: Bearer KEY"}
	}
	stage := environment.Production
	switch req.r.Header.Get(stageHeader) {
	case "", string(environment.Production):
	case string(environment.Trial):
		stage = environment.Trial
	default:
		return &ProblemError{Status: http.StatusBadRequest, Code: CodeMalformed, Detail: stageHeader + " is neither trial nor production"}
	}
	principal, ok := s.config.Catalog.Lookup(stage, key)
	if !ok {
		return &ProblemError{Status: http.StatusUnauthorized, Code: CodeUnauthorized, Detail: "the key belongs to no tenant of the " + string(stage) + " stage"}
	}
	req.principal, req.apiKey = principal, key
	req.logger = req.logger.With(zap.String("tenant", string(principal.Team.Name)))
	return nil
}

func (s *Server) finish(req *apiRequest, problem *ProblemError) {
	if problem == nil {
		req.logger.Debug("request served", zap.Duration("took", time.Since(req.started)))
		return
	}
	s.config.Observer.RequestFailed(req.principal.Team.Name, req.principal.Team.Class, problem.Code)
	req.logger.Info("request ended with a problem",
		zap.String("code", string(problem.Code)), zap.Int("status", problem.Status), zap.Duration("took", time.Since(req.started)))
	if req.written {
		return
	}
	if problem.Outcome == "" && strings.HasPrefix(req.r.URL.Path, servicesPrefix) {
		// Rejected before the idempotency key was looked up: this attempt never
		// runs, but an earlier one under the same key may have run.
		problem.Outcome = claim.OutcomeUnknown
		req.w.Header().Set(attemptHeader, attemptNotRunValue)
	}
	problem.write(req.w)
}

// readBody returns the complete body. It fails if the body is larger than
// MaxBodyBytes or does not arrive within BodyTimeout.
func (s *Server) readBody(req *apiRequest) ([]byte, *ProblemError) {
	control := http.NewResponseController(req.w)
	_ = control.SetReadDeadline(time.Now().Add(s.config.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(req.w, req.r.Body, MaxBodyBytes))
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
