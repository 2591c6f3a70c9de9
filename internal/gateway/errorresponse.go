package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

// Values of Retry-After in error responses.
const (
	configurationRetryAfter = 300 * time.Millisecond
	backendRetryAfter       = 400 * time.Millisecond
)

// errorResponse is a response that the gateway generates itself. Status 503 and 408
// guarantee that the request has not run and never will.
type errorResponse struct {
	status     int
	code       string
	retryAfter time.Duration // 0 for no Retry-After: a retry doesn't help, or might run the request twice
	cause      error
	ran        []deployment.BackendID // servers that may have run the request, told to peers only
}

// notRunResponse returns the error response for a request that has not run.
func notRunResponse(cause error) errorResponse {
	if heldBackOf(cause) != nil {
		return errorResponse{status: http.StatusServiceUnavailable, code: heldBackCode, retryAfter: heldBackRetryAfter, cause: cause}
	}
	return errorResponse{status: http.StatusServiceUnavailable, code: "not-run", retryAfter: retryAfter(cause), cause: cause}
}

// respondError writes, logs and counts an error response.
func (g *Gateway) respondError(w http.ResponseWriter, c *call, e errorResponse) {
	header := w.Header()
	if c.id != "" {
		header.Set(platform.HeaderRequestID, c.id)
	}
	if e.retryAfter > 0 {
		header.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(e.retryAfter))
	}
	if c.relayed != nil {
		respondToPeer(w, &e)
	} else {
		http.Error(w, e.code, e.status)
	}
	g.logEnd(c, e.status, e.code, zap.NamedError("cause", e.cause))
	g.Metrics.countFailure(e.code)
}

// logEnd logs the end of a request.
func (g *Gateway) logEnd(c *call, status int, outcome string, more ...zap.Field) {
	fields := []zap.Field{
		zap.String("request", c.id), zap.Int("status", status), zap.String("outcome", outcome),
		zap.Duration("took-ms", time.Since(c.started)), zap.Int64("configuration", int64(c.version)),
		zap.Int("tries", c.attempts),
	}
	if c.decision.Route != nil {
		fields = append(fields, zap.String("route", string(c.decision.Route.Name)), zap.String("team", string(c.decision.Team)),
			zap.Int("priority", c.decision.Rank.Priority), zap.Int("route-priority", c.decision.Rank.Route))
	}
	if c.size.PromptTokens > 0 {
		fields = append(fields, zap.Int("prompt-tokens", c.size.PromptTokens), zap.Int("max-output-tokens", c.size.MaxOutputTokens))
	}
	if c.hasSize() && c.expected.Work > 0 {
		fields = append(fields, zap.Float64("expected-output-tokens", c.expected.Output), zap.Float64("expected-work-ms", float64(c.expected.Work)))
	}
	if c.relayed != nil {
		fields = append(fields, zap.String("relayed-from", string(c.relayed.instance)))
	}
	g.Logger.Info("request ended", append(fields, more...)...)
}
