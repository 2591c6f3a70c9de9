package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

// The range of Retry-After for requests that are rejected because their backend servers take
// no more a second. The callers come back spread over it.
const (
	minLimitRetryAfter = 300 * time.Millisecond
	maxLimitRetryAfter = 1500 * time.Millisecond
)

// limitReachedError reports that the backend servers of a service take no more requests for
// now, by the limits that they have named.
type limitReachedError struct {
	service    deployment.ServiceName
	retryAfter time.Duration
}

func (e *limitReachedError) Error() string {
	return fmt.Sprintf("the backend servers of %s take no more requests for now, retry after %s", e.service, e.retryAfter.Round(time.Millisecond))
}

func newLimitReachedError(service deployment.ServiceName) *limitReachedError {
	spread := time.Duration(rand.Int64N(int64(maxLimitRetryAfter - minLimitRetryAfter)))
	return &limitReachedError{service: service, retryAfter: minLimitRetryAfter + spread}
}

// recordLimit records what a response says of the requests a second that its backend server
// takes. One that is not the answer to a request, such as a rejection, may name a limit, but
// without one it lifts none. What is no number says nothing.
func (g *Gateway) recordLimit(now time.Time, response *http.Response, id deployment.BackendID) {
	perSecond, named, valid := platform.ParseLimit(response.Header)
	switch {
	case valid:
		if g.Fleet.NameLimit(now, id, perSecond) {
			g.Logger.Info("server limit", zap.String("backend", string(id)), zap.Float64("per-second", perSecond))
		}
	case !named && response.Header.Get(platform.HeaderSignature) != "":
		if g.Fleet.LiftLimit(now, id) {
			g.Logger.Info("server limit ended", zap.String("backend", string(id)))
		}
	}
}
