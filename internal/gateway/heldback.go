package gateway

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/poison"
)

// heldBackCode is the code of the rejection of a held request.
const heldBackCode = "breaks-backend-servers"

// heldBackRetryAfter is sent with the rejection of a held request. A repeat is rejected too.
const heldBackRetryAfter = 30 * time.Second

// heldBackError reports that a request is not sent, or not sent again, because of the
// backend servers that ended while they ran such requests.
type heldBackError struct {
	verdict poison.Verdict
}

func (e *heldBackError) Error() string {
	return fmt.Sprintf("not sent, as backend servers have ended on such requests: %s", e.verdict)
}

// heldBackOf returns the *heldBackError in an error, nil if there is none.
func heldBackOf(err error) *heldBackError {
	var heldBack *heldBackError
	if errors.As(err, &heldBack) {
		return heldBack
	}
	return nil
}

// keysOf returns the keys of a request, the most general first: those of the parts of its
// prompt that others may share, and that of the request itself.
func keysOf(c *call) []poison.Key {
	var keys []poison.Key
	for _, part := range c.parts[:max(0, len(c.parts)-1)] {
		keys = append(keys, poison.PartKey(part))
	}
	return append(keys, poison.RequestKey(c.request.Method, c.request.Host, c.request.URI, c.decision.Team, c.request.Body))
}

// MergePoisonEvidence adds what another instance knows of ends of backend servers. It
// returns what was new.
func (g *Gateway) MergePoisonEvidence(now time.Time, from deployment.InstanceID, evidence poison.Evidence) poison.Evidence {
	return g.ends.merge(now, from, evidence)
}

// PoisonEvidence returns what this instance knows of ends of backend servers, and when that
// last changed.
func (g *Gateway) PoisonEvidence(now time.Time) (poison.Evidence, time.Time) {
	return g.ends.evidence(now)
}

// PoisonRecord returns what is to replace what is kept of it outside of the instances, and whether it must; see
// poison.Tracker.Record.
func (g *Gateway) PoisonRecord(now time.Time, kept poison.Evidence, partitioned bool) (poison.Evidence, bool) {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	return g.ends.tracker.Record(now, kept, partitioned)
}

// partsField returns the log field that names the parts of a request's prompt.
func partsField(c *call) zap.Field {
	names := make([]string, 0, len(c.parts))
	for _, part := range c.parts {
		names = append(names, string(part))
	}
	return zap.Strings("parts", names)
}
