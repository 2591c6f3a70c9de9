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

// returnSpread is the time over which callers come back to servers that wanted no requests.
const returnSpread = 500 * time.Millisecond

// serversWaitError reports that all backend servers of a service want no requests for a while.
type serversWaitError struct {
	service    deployment.ServiceName
	retryAfter time.Duration
}

func (e *serversWaitError) Error() string {
	return fmt.Sprintf("the backend servers of %s want no requests for %s", e.service, e.retryAfter.Round(time.Millisecond))
}

// serversWait returns an error if all backend servers of a service want no requests, nil otherwise.
func (g *Gateway) serversWait(now time.Time, service deployment.ServiceName) error {
	wait, all := g.Fleet.TimeToRequests(now, service)
	if !all {
		return nil
	}
	return &serversWaitError{service: service, retryAfter: wait + time.Duration(rand.Int64N(int64(returnSpread)))}
}

// recordStatements records what a response says of its backend server.
func (g *Gateway) recordStatements(now time.Time, response *http.Response, id deployment.BackendID) {
	g.recordLimit(now, response, id)
	g.recordStatement(now, platform.ParseStatement(now, response.StatusCode, response.Header), id)
}

// recordStatement records that a backend server leaves, or wants no requests for a while.
func (g *Gateway) recordStatement(now time.Time, statement deployment.ServerStatement, id deployment.BackendID) {
	if g.Fleet.RecordStatement(now, id, statement) {
		g.Logger.Info("server leaves", zap.String("backend", string(id)), zap.String("source", "response"))
	}
	if statement.Wait > 0 {
		g.Logger.Info("server waits", zap.String("backend", string(id)), zap.Duration("wait-ms", statement.Wait))
	}
}

// recordRelayedStatement records what the response of a relayed request says of the backend server that
// gave it. The time that it wants is told to the peer, and not here.
func (g *Gateway) recordRelayedStatement(now time.Time, header http.Header, by deployment.Incarnation) {
	g.recordStatement(now, platform.ParseStatement(now, http.StatusOK, header), by.Server)
}
