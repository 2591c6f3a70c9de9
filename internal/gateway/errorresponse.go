package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/platform"
)

// Pauses after which a refused client may come back.
const (
	configurationPause = 300 * time.Millisecond
	backendPause       = 400 * time.Millisecond
)

// refusal is an answer of the router's own. Status 503, and 408, promise that the
// request has not run and never will.
type refusal struct {
	status int
	code   string
	after  time.Duration // 0 where coming back does not help
	cause  error
}

// refuse answers with a refusal and logs it.
func (g *Gateway) refuse(w http.ResponseWriter, c *call, r refusal) {
	header := w.Header()
	if c.id != "" {
		header.Set(platform.HeaderRequestID, c.id)
	}
	if r.after > 0 {
		header.Set(platform.HeaderRetryAfter, platform.FormatRetryAfter(r.after))
	}
	http.Error(w, r.code, r.status)
	g.logEnd(c, r.status, r.code, zap.NamedError("cause", r.cause))
	g.Metrics.refused(r.code)
}

// logEnd writes the line of a request's end.
func (g *Gateway) logEnd(c *call, status int, outcome string, more ...zap.Field) {
	fields := []zap.Field{
		zap.String("request", c.id), zap.Int("status", status), zap.String("outcome", outcome),
		zap.Duration("took-ms", time.Since(c.started)), zap.Int64("configuration", int64(c.version)),
		zap.Int("tries", c.tries),
	}
	if c.decision.Route != nil {
		fields = append(fields, zap.String("route", string(c.decision.Route.Name)), zap.String("team", string(c.decision.Team)))
	}
	g.Logger.Info("request ended", append(fields, more...)...)
}
