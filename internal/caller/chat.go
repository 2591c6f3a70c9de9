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

// generation is a checked request for an answer.
type generation struct {
	model     environment.Model
	prompt    []hashmodel.Token
	maxTokens int
	stream    bool
	chat      bool
}

func (s *Server) chatCompletions(c *call) *ProblemError {
	body, problem := s.readBody(c)
	if problem != nil {
		return problem
	}
	var wire wireChatRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return malformed("the body is not the JSON of a chat request: " + err.Error())
	}
	if len(wire.Messages) == 0 {
		return malformed("messages is empty")
	}
	parts := make([]string, 0, len(wire.Messages))
	for _, m := range wire.Messages {
		parts = append(parts, m.Content)
	}
	return s.generate(c, wire.Model, strings.Join(parts, "\n"), wire.MaxTokens, wire.Stream, true)
}

func (s *Server) completions(c *call) *ProblemError {
	body, problem := s.readBody(c)
	if problem != nil {
		return problem
	}
	var wire wireCompletionRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return malformed("the body is not the JSON of a completion request: " + err.Error())
	}
	return s.generate(c, wire.Model, wire.Prompt, wire.MaxTokens, wire.Stream, false)
}

func malformed(detail string) *ProblemError {
	return &ProblemError{Status: http.StatusBadRequest, Code: CodeMalformed, Detail: detail}
}

func (s *Server) generate(c *call, model, prompt string, maxTokens *int, stream, chat bool) *ProblemError {
	g, problem := checkGeneration(c.grant, model, prompt, maxTokens)
	if problem != nil {
		return problem
	}
	g.stream, g.chat = stream, chat
	class, _ := c.grant.Document.Class(c.grant.Team.Class)
	ticket := NewAdmissionRequest(c.grant.Team, float64(len(g.prompt)+g.maxTokens), class.FirstTokenTimeout)
	if problem := s.admit(c.r.Context(), ticket); problem != nil {
		return problem
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.admission.Done(time.Now(), ticket)
	}()
	return s.answer(c, g, class)
}

func checkGeneration(grant Principal, model, prompt string, maxTokens *int) (generation, *ProblemError) {
	name := environment.ModelName(model)
	m, ok := grant.Document.Model(name)
	if !ok {
		return generation{}, &ProblemError{Status: http.StatusNotFound, Code: CodeUnknownModel, Detail: fmt.Sprintf("no model %q", model)}
	}
	if !grant.Team.MayUseModel(name) {
		return generation{}, &ProblemError{Status: http.StatusForbidden, Code: CodeForbidden, Detail: fmt.Sprintf("the tenant may not use model %q", model)}
	}
	g := generation{model: m, prompt: hashmodel.Tokenize(prompt), maxTokens: defaultMaxTokens}
	if maxTokens != nil {
		g.maxTokens = *maxTokens
	}
	switch {
	case len(g.prompt) == 0:
		return generation{}, malformed("the prompt is empty")
	case len(g.prompt) > maxPromptTokens:
		return generation{}, &ProblemError{Status: http.StatusRequestEntityTooLarge, Code: CodeTooLarge, Detail: fmt.Sprintf("the prompt is over %d tokens", maxPromptTokens)}
	case g.maxTokens < 1 || g.maxTokens > maxMaxTokens:
		return generation{}, malformed(fmt.Sprintf("max_tokens is not within 1 to %d", maxMaxTokens))
	}
	return g, nil
}

// admit waits for the ticket's turn.
func (s *Server) admit(ctx context.Context, ticket *AdmissionRequest) *ProblemError {
	s.mu.Lock()
	s.admission.Submit(time.Now(), ticket)
	s.mu.Unlock()
	select {
	case problem := <-ticket.Result():
		return problem
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admission.Cancel(time.Now(), ticket) {
		return &ProblemError{Status: statusClientClosed, Code: CodeOverloaded, Detail: "the caller has gone"}
	}
	// The ticket was answered in the meantime; the caller's end shows later.
	return <-ticket.Result()
}

// statusClientClosed is logged for a caller that has gone; nobody reads it.
const statusClientClosed = 499

// answer makes an answer and sends it, streamed or in one piece.
func (s *Server) answer(c *call, g generation, class environment.Class) *ProblemError {
	out := newAnswerWriter(c, g, s.config.WriteTimeout)
	tenant := c.grant.Team
	last := time.Time{}
	emit := func(t hashmodel.Token) error {
		now := time.Now()
		if last.IsZero() {
			s.config.Observer.FirstToken(tenant.Name, tenant.Class, now.Sub(c.began))
		} else {
			s.config.Observer.BetweenTokens(tenant.Name, tenant.Class, now.Sub(last))
		}
		last = now
		return out.token(t)
	}
	err := s.config.Pool.Generate(c.r.Context(), engine.Request{
		Model: g.model.Name, Version: g.model.Version, Layers: g.model.Layers,
		Priority: class.Priority, Prompt: g.prompt, MaxTokens: g.maxTokens,
		Fingerprint: engine.FingerprintOf(tenant.Name, g.model.Name, g.prompt),
	}, emit)
	if err != nil {
		return out.fail(answerProblem(err))
	}
	s.config.Observer.Answer(tenant.Name, tenant.Class, time.Since(c.began))
	return out.finish()
}

func answerProblem(err error) *ProblemError {
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

func (s *Server) models(c *call) *ProblemError {
	type wireModel struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := []wireModel{}
	for _, m := range c.grant.Document.Models {
		if c.grant.Team.MayUseModel(m.Name) {
			list = append(list, wireModel{ID: string(m.Name), Object: "model", OwnedBy: string(c.grant.Environment)})
		}
	}
	return c.writeJSON(http.StatusOK, struct {
		Object string      `json:"object"`
		Data   []wireModel `json:"data"`
	}{"list", list})
}

func (c *call) writeJSON(status int, value any) *ProblemError {
	c.written = true
	c.w.Header().Set("Content-Type", "application/json")
	c.w.WriteHeader(status)
	_ = json.NewEncoder(c.w).Encode(value)
	return nil
}
