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

// statementSource is who has told that a backend server leaves.
type statementSource string

const (
	statedInResponse statementSource = "response"
	statedToPeer     statementSource = "relayed-response"
)

// recordStatements records what a response to a request says of its backend server.
func (g *Gateway) recordStatements(now time.Time, c *call, response *http.Response, by deployment.Incarnation) {
	g.recordLimit(now, response, by.Server)
	g.recordStatement(now, c, platform.ParseStatement(now, response.StatusCode, response.Header), by, statedInResponse)
}

// recordStatement records that a backend server leaves, or wants no requests for a while.
func (g *Gateway) recordStatement(now time.Time, c *call, statement deployment.ServerStatement, by deployment.Incarnation, source statementSource) {
	if g.Fleet.RecordStatement(now, by, statement) {
		g.Logger.Info("server leaves", zap.String("backend", string(by.Server)), zap.Int64("born", by.StartedAt),
			zap.String("source", string(source)), zap.String("request", c.id))
	}
	if statement.Wait > 0 {
		g.Logger.Info("server waits", zap.String("backend", string(by.Server)), zap.Duration("wait-ms", statement.Wait))
	}
}

// recordRelayedStatement records what the response of a relayed request says of the backend server that
// gave it. The time that it wants is told to the peer, and not here.
func (g *Gateway) recordRelayedStatement(now time.Time, c *call, answer *relayedAnswer) {
	statement := platform.ParseStatement(now, http.StatusOK, answer.Response.Header)
	if answer.By == (deployment.Incarnation{}) {
		if statement.Leaving {
			g.Logger.Info("a server leaves, which a peer does not name", zap.String("peer", string(answer.peer)), zap.String("request", c.id))
		}
		return
	}
	g.recordStatement(now, c, statement, answer.By, statedToPeer)
}
