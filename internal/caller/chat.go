package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	defaultMaxTokens = 64
	maxMaxTokens     = 4096
	maxPromptTokens  = 32768
)

func asMaxBytes(err error, target **http.MaxBytesError) bool {
	return errors.As(err, target)
}

type wireChatRequest struct {
	Model     string        `json:"model"`
	Messages  []wireMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireCompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// generation is a validated request for a completion.
type generation struct {
	model     environment.Model
	prompt    []hashmodel.Token
	maxTokens int
	stream    bool
	chat      bool
}

func (s *Server) chatCompletions(req *apiRequest) *ProblemError {
	body, problem := s.readBody(req)
	if problem != nil {
		return problem
	}
	var wire wireChatRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return malformedRequest("the body is not the JSON of a chat request: " + err.Error())
	}
	if len(wire.Messages) == 0 {
		return malformedRequest("messages is empty")
	}
	parts := make([]string, 0, len(wire.Messages))
	for _, m := range wire.Messages {
		parts = append(parts, m.Content)
	}
	return s.generate(req, wire.Model, strings.Join(parts, "\n"), wire.MaxTokens, wire.Stream, true)
}

func (s *Server) completions(req *apiRequest) *ProblemError {
	body, problem := s.readBody(req)
	if problem != nil {
		return problem
	}
	var wire wireCompletionRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return malformedRequest("the body is not the JSON of a completion request: " + err.Error())
	}
	return s.generate(req, wire.Model, wire.Prompt, wire.MaxTokens, wire.Stream, false)
}

func malformedRequest(detail string) *ProblemError {
	return &ProblemError{Status: http.StatusBadRequest, Code: CodeMalformed, Detail: detail}
}

func (s *Server) generate(req *apiRequest, model, prompt string, maxTokens *int, stream, chat bool) *ProblemError {
	g, problem := validateGeneration(req.principal, model, prompt, maxTokens)
	if problem != nil {
		return problem
	}
	g.stream, g.chat = stream, chat
	class, _ := req.principal.Document.Class(req.principal.Team.Class)
	request := NewAdmissionRequest(req.principal.Team, float64(len(g.prompt)+g.maxTokens), class.FirstTokenTimeout)
	if problem := s.admit(req.r.Context(), request); problem != nil {
		return problem
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Done(time.Now(), request)
	}()
	return s.runGeneration(req, g, class)
}

func validateGeneration(principal Principal, model, prompt string, maxTokens *int) (generation, *ProblemError) {
	name := environment.ModelName(model)
	m, ok := principal.Document.Model(name)
	if !ok {
		return generation{}, &ProblemError{Status: http.StatusNotFound, Code: CodeUnknownModel, Detail: fmt.Sprintf("no model %q", model)}
	}
	if !principal.Team.MayUseModel(name) {
		return generation{}, &ProblemError{Status: http.StatusForbidden, Code: CodeForbidden, Detail: fmt.Sprintf("the tenant may not use model %q", model)}
	}
	g := generation{model: m, prompt: hashmodel.Tokenize(prompt), maxTokens: defaultMaxTokens}
	if maxTokens != nil {
		g.maxTokens = *maxTokens
	}
	switch {
	case len(g.prompt) == 0:
		return generation{}, malformedRequest("the prompt is empty")
	case len(g.prompt) > maxPromptTokens:
		return generation{}, &ProblemError{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Detail: fmt.Sprintf("the prompt is over %d tokens", maxPromptTokens)}
	case g.maxTokens < 1 || g.maxTokens > maxMaxTokens:
		return generation{}, malformedRequest(fmt.Sprintf("max_tokens is not within 1 to %d", maxMaxTokens))
	}
	return g, nil
}

// admit submits the request and waits until it may run, is rejected or ctx ends.
func (s *Server) admit(ctx context.Context, request *AdmissionRequest) *ProblemError {
	s.mu.Lock()
	s.admission.Submit(time.Now(), request)
	s.mu.Unlock()
	select {
	case problem := <-request.Result():
		return problem
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission.Cancel(time.Now(), request) {
		return &ProblemError{Status: statusClientClosed, Code: CodeOverloaded, Detail: "the caller has gone"}
	}
	// The result was sent in the meantime. If the request was admitted, the
	// generation ends because of ctx.
	return <-request.Result()
}

// statusClientClosed is the status in the log for a client that disconnected while
// its request was queued; the client does not receive it.
const statusClientClosed = 499

// runGeneration generates a completion and sends it, streamed or as one response.
func (s *Server) runGeneration(req *apiRequest, g generation, class environment.Class) *ProblemError {
	out := newCompletionWriter(req, g, s.config.WriteTimeout)
	team := req.principal.Team
	last := time.Time{}
	emit := func(t hashmodel.Token) error {
		now := time.Now()
		if last.IsZero() {
			s.config.Observer.FirstToken(team.Name, team.Class, now.Sub(req.started))
		} else {
			s.config.Observer.BetweenTokens(team.Name, team.Class, now.Sub(last))
		}
		last = now
		return out.writeToken(t)
	}
	err := s.config.Pool.Generate(req.r.Context(), engine.Request{
		Model: g.model.Name, Version: g.model.Version, Layers: g.model.Layers,
		Priority: class.Priority, Prompt: g.prompt, MaxTokens: g.maxTokens,
		Fingerprint: engine.FingerprintOf(team.Name, g.model.Name, g.prompt),
	}, emit)
	if err != nil {
		return out.fail(generationProblem(err))
	}
	s.config.Observer.Answer(team.Name, team.Class, time.Since(req.started))
	return out.finish()
}

func generationProblem(err error) *ProblemError {
	problem := &ProblemError{
		Status: http.StatusServiceUnavailable, Code: CodeAnswerFailed,
		Detail: "the answer could not be made whole", RetryAfter: time.Second,
	}
	var failed *engine.GenerationError
	if errors.As(err, &failed) {
		switch failed.Reason {
		case engine.FailNoPath:
			problem.Code, problem.Detail = CodeNoRunners, "no runners cover all layers of the model"
		case engine.FailInvariant:
			problem.Status, problem.Code = http.StatusInternalServerError, CodeInternal
		case engine.FailQuarantined:
			problem.Status, problem.Code, problem.RetryAfter = http.StatusUnprocessableEntity, CodeQuarantined, 0
			problem.Detail = "the request was running on two runners when they crashed; it is not run again"
		case engine.FailTooManyReroutes:
		}
	}
	return problem
}

func (s *Server) models(req *apiRequest) *ProblemError {
	type wireModel struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []wireModel{}
	for _, m := range req.principal.Document.Models {
		if req.principal.Team.MayUseModel(m.Name) {
			list = append(list, wireModel{ID: string(m.Name), Object: "model", OwnedBy: string(req.principal.Environment)})
		}
	}
	return req.writeJSON(http.StatusOK, struct {
		Object string      `json:"object"`
		Data   []wireModel `json:"data"`
	}{"list", list})
}

func (req *apiRequest) writeJSON(status int, value any) *ProblemError {
	req.written = true
	req.w.Header().Set("Content-Type", "application/json")
	req.w.WriteHeader(status)
	_ = json.NewEncoder(req.w).Encode(value)
	return nil
}
