package caller

import (
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/service"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// boundKeySeparator separates the parts of a bound key: its UUID, the incarnation
// that issued it, and the instance ID.
const boundKeySeparator = "."

// idempotencyKey is a parsed idempotency key.
type idempotencyKey struct {
	key  claim.Key
	text string
	// bound is set for a key that only the incarnation in issuer may dispatch.
	bound  bool
	issuer KeyIssuer
}

func (s *Server) serviceCall(req *apiRequest) *ProblemError {
	request, operation, supportsKeys, problem := s.serviceRequest(req)
	if problem != nil {
		return problem
	}
	s.mu.Lock()
	problem = s.admission.Charge(time.Now(), req.principal.Team)
	s.mu.Unlock()
	if problem != nil {
		return problem
	}
	if operation.Idempotent {
		return s.idempotentCall(req, request)
	}
	key, problem := req.idempotencyKey()
	if problem != nil {
		return problem
	}
	request.IdempotencyKey = key.text
	return s.nonIdempotentCall(req, request, key, supportsKeys)
}

func (s *Server) serviceRequest(req *apiRequest) (service.Request, environment.Operation, bool, *ProblemError) {
	name := environment.ServiceName(mux.Vars(req.r)["service"])
	fail := func(p *ProblemError) (service.Request, environment.Operation, bool, *ProblemError) {
		return service.Request{}, environment.Operation{}, false, p
	}
	svc, ok := req.principal.Document.Service(name)
	if !ok {
		return fail(&ProblemError{Status: http.StatusNotFound, Code: CodeUnknownService, Detail: "no such service"})
	}
	if !req.principal.Team.MayUseService(name) {
		return fail(&ProblemError{Status: http.StatusForbidden, Code: CodeForbidden, Detail: "the tenant may not use this service"})
	}
	path := strings.TrimPrefix(req.r.URL.EscapedPath(), servicesPrefix+string(name))
	if path == "" {
		path = "/"
	}
	operation, ok := svc.Operation(req.r.Method, path)
	if !ok {
		return fail(&ProblemError{Status: http.StatusNotFound, Code: CodeUnknownOperation, Detail: "the service has no such operation"})
	}
	body, problem := s.readBody(req)
	if problem != nil {
		return fail(problem)
	}
	return service.Request{
		Service: name, Method: req.r.Method, Path: path, Query: req.r.URL.RawQuery,
		ContentType: req.r.Header.Get("Content-Type"), Body: body, Timeout: svc.Timeout,
	}, operation, svc.SupportsIdempotencyKeys, nil
}

func (s *Server) idempotentCall(req *apiRequest, request service.Request) *ProblemError {
	response, err := s.config.Services.Call(req.r.Context(), request)
	s.config.Observer.ServiceCall(req.principal.Team.Name, req.principal.Team.Class, time.Since(req.started))
	if err == nil {
		defer response.Close()
		req.writeResponse(response.Status, response.ContentType, response.Body)
		return nil
	}
	var none *service.NoBackendError
	if errors.As(err, &none) {
		return &ProblemError{Status: http.StatusServiceUnavailable, Code: Code(claim.CodeNoBackend), Detail: "no backend server is available", RetryAfter: time.Second}
	}
	return &ProblemError{Status: http.StatusBadGateway, Code: CodeServiceFailed, Outcome: claim.OutcomeUnknown, Detail: "the service did not answer", RetryAfter: time.Second}
}

func (req *apiRequest) writeResponse(status int, contentType string, body []byte) {
	req.written = true
	if contentType != "" {
		req.w.Header().Set("Content-Type", contentType)
	}
	req.w.WriteHeader(status)
	_, _ = req.w.Write(body)
}

// idempotencyKey parses the Idempotency-Key header of a non-idempotent call.
func (req *apiRequest) idempotencyKey() (idempotencyKey, *ProblemError) {
	text := req.r.Header.Get(idempotencyHeader)
	if text == "" {
		return idempotencyKey{}, &ProblemError{
			Status: http.StatusBadRequest, Code: CodeKeyMissing, Outcome: claim.OutcomeNotRun,
			Detail: "send " + idempotencyHeader + " with a UUIDv7, made once for this request and kept for its repeats",
		}
	}
	return parseKey(req.principal.Team.Name, text)
}

func parseKey(team environment.TeamName, text string) (idempotencyKey, *ProblemError) {
	uuidText, issuer, bound := strings.Cut(text, boundKeySeparator)
	key := idempotencyKey{text: text, bound: bound}
	id, err := uuid.Parse(uuidText)
	if err == nil && bound {
		incarnation, instance, _ := strings.Cut(issuer, boundKeySeparator)
		key.issuer.Instance = instancelist.ID(instance)
		key.issuer.Incarnation, err = uuid.Parse(incarnation)
	}
	if err != nil || id.Version() != 7 {
		return idempotencyKey{}, &ProblemError{
			Status: http.StatusBadRequest, Code: CodeKeyMalformed, Outcome: claim.OutcomeNotRun,
			Detail: "the key is not a UUIDv7 or one issued by /v1/keys",
		}
	}
	key.key = claim.Key{Team: team, UUID: id}
	return key, nil
}

// requestDigest returns a digest by which the reuse of a key for a different request
// is detected.
func requestDigest(request service.Request) claim.RequestDigest {
	h := sha256.New()
	for _, part := range []string{string(request.Service), request.Method, request.Path, request.Query, string(request.Body)} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	var d claim.RequestDigest
	copy(d[:], h.Sum(nil))
	return d
}

func (s *Server) nonIdempotentCall(req *apiRequest, request service.Request, key idempotencyKey, supportsKeys bool) *ProblemError {
	executor := s.config.Claims
	if key.bound {
		if key.issuer.Incarnation != s.config.Incarnation {
			return s.forward(req, request, key)
		}
		executor = s.config.LocalClaims
	}
	if problem := s.checkKeyAge(executor, key, time.Now()); problem != nil {
		return problem
	}
	dispatcher := s.config.Services.NewDispatcher(request)
	defer dispatcher.Close()
	reply := executor.Run(req.r.Context(), claim.Request{
		Claim: claim.Claim{
			Key: key.key, ID: uuid.New(), Digest: requestDigest(request), Incarnation: s.config.Incarnation,
		},
		SupportsIdempotencyKeys: supportsKeys, Timeout: request.Timeout, Dispatcher: dispatcher,
	})
	s.config.Observer.ServiceCall(req.principal.Team.Name, req.principal.Team.Class, time.Since(req.started))
	s.config.Observer.Outcome(reply.Outcome)
	return req.reply(reply, dispatcher.FullResponse())
}

// checkKeyAge rejects a key that the executor has no state of and whose time is more
// than claim.MaxClockSkew ahead, that is older than claim.MaxKeyAge, or whose records
// may have been trimmed from the log.
func (s *Server) checkKeyAge(executor *claim.Executor, key idempotencyKey, now time.Time) *ProblemError {
	state := executor.State(key.key)
	if state.Phase != claim.PhaseFree && state.Phase != claim.PhaseTrimmed {
		return nil
	}
	createdAt, _ := key.key.Time()
	switch {
	case createdAt.After(now.Add(claim.MaxClockSkew)):
		return &ProblemError{
			Status: http.StatusBadRequest, Code: CodeKeyFromFuture, Outcome: claim.OutcomeUnknown,
			Detail: "the key's time lies ahead; check the caller's clock",
		}
	case now.Sub(createdAt) > claim.MaxKeyAge || state.Phase == claim.PhaseTrimmed:
		return replyProblem(claim.Reply{Outcome: claim.OutcomeUnknown, Code: claim.CodeKeyTooOld})
	}
	return nil
}

// reply sends the final response of a call that runs at most once. full is the
// response if this instance received it from the service itself, otherwise nil.
func (req *apiRequest) reply(reply claim.Reply, full *service.Response) *ProblemError {
	if reply.AttemptNotRun {
		req.w.Header().Set(attemptHeader, attemptNotRunValue)
	}
	if reply.Outcome != claim.OutcomeDone {
		return replyProblem(reply)
	}
	req.w.Header().Set(outcomeHeader, string(reply.Outcome))
	switch {
	case full != nil:
		req.writeResponse(full.Status, full.ContentType, full.Body)
	case reply.Response.Truncated:
		req.writeResponse(http.StatusOK, "application/json", []byte(`{"truncated":true}`))
	default:
		req.writeResponse(reply.Response.Status, reply.Response.ContentType, reply.Response.Body)
	}
	return nil
}

func replyProblem(reply claim.Reply) *ProblemError {
	problem := &ProblemError{
		Status: http.StatusServiceUnavailable, Code: Code(reply.Code),
		Outcome: reply.Outcome, RetryAfter: reply.RetryAfter,
	}
	switch reply.Code {
	case claim.CodeKeyReused:
		problem.Status = http.StatusUnprocessableEntity
		problem.Detail = "the key belongs to another request"
	case claim.CodeLogUnavailable:
		problem.Detail = "the claim could not be made; this attempt was not run and never will be"
	case claim.CodeNoBackend:
		problem.Detail = "no backend server could be reached"
	case claim.CodeOutcomeUnknown:
		problem.Status = http.StatusBadGateway
		problem.Detail = "the call was sent and its answer was lost; look the effect up at the service"
	case claim.CodeInProgress:
		problem.Status = http.StatusConflict
		problem.Detail = "another attempt under this key is under way"
	case claim.CodeKeyTooOld:
		problem.Status = http.StatusGone
		problem.Detail = "the key is older than what is still known; look the effect up at the service"
	case claim.CodeNone:
	}
	return problem
}

// forward forwards a call to the instance that issued its key and relays the
// response.
func (s *Server) forward(req *apiRequest, request service.Request, key idempotencyKey) *ProblemError {
	response, ok := s.config.Forwarder.Forward(req.r.Context(), key.issuer, peer.ForwardRequest{
		Method: request.Method, Path: req.r.URL.EscapedPath(), Query: request.Query, Stage: req.r.Header.Get(stageHeader),
		ContentType: request.ContentType, APIKey: req.apiKey, Key: key.text, Body: request.Body,
	})
	if !ok {
		return &ProblemError{
			Status: http.StatusServiceUnavailable, Code: CodeKeyBoundElsewhere, Outcome: claim.OutcomeUnknown,
			Detail: "the instance that issued the key cannot be reached", RetryAfter: time.Second,
		}
	}
	header := req.w.Header()
	setIfNotEmpty(header, outcomeHeader, response.Outcome)
	setIfNotEmpty(header, attemptHeader, response.Attempt)
	setIfNotEmpty(header, "Retry-After", response.RetryAfter)
	req.writeResponse(response.Status, response.ContentType, response.Body)
	return nil
}

func setIfNotEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// issueKey returns a key that only this incarnation of the instance dispatches, so
// that calls under it also work while the log is unavailable.
func (s *Server) issueKey(req *apiRequest) *ProblemError {
	id, err := uuid.NewV7()
	if err != nil {
		return &ProblemError{Status: http.StatusInternalServerError, Code: CodeInternal, Detail: "no key could be made"}
	}
	return req.writeJSON(http.StatusCreated, struct {
		Key string `json:"key"`
	}{id.String() + boundKeySeparator + s.config.Incarnation.String() + boundKeySeparator + string(s.config.Instance)})
}

func (s *Server) outcome(req *apiRequest) *ProblemError {
	key, problem := parseKey(req.principal.Team.Name, mux.Vars(req.r)["key"])
	if problem != nil {
		problem.Outcome = ""
		return problem
	}
	executor := s.config.Claims
	if key.bound {
		executor = s.config.LocalClaims
		if key.issuer.Incarnation != s.config.Incarnation {
			return s.forward(req, service.Request{Method: http.MethodGet}, key)
		}
	}
	state := executor.RefreshState(req.r.Context(), key.key)
	outcome := claim.OutcomeUnknown
	if state.Phase == claim.PhaseCompleted {
		outcome = claim.OutcomeDone
	}
	req.w.Header().Set(outcomeHeader, string(outcome))
	return req.writeJSON(http.StatusOK, struct {
		Key     string `json:"key"`
		Outcome string `json:"outcome"`
		Phase   string `json:"phase"`
		Status  int    `json:"status,omitempty"`
		Body    string `json:"body,omitempty"`
	}{key.text, string(outcome), state.Phase.String(), state.Response.Status, string(state.Response.Body)})
}
