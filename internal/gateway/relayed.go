package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// cutOffRetryAfter is sent while this instance does not reach the backend servers.
	cutOffRetryAfter = time.Second
	// staleRetryAfter is sent to a peer with a newer configuration, which this instance
	// should have soon.
	staleRetryAfter = 200 * time.Millisecond
)

// ServeRelayed implements relay.Server: it serves a request that a peer has received and
// routed. The request is not relayed again.
func (g *Gateway) ServeRelayed(w http.ResponseWriter, r *http.Request, request *relay.Request) {
	state := &responseState{ResponseWriter: w}
	defer g.recoverPanic(state, r)
	now := time.Now()
	service, refused := g.admitRelayed(now, request)
	if refused != nil {
		g.Logger.Info("relayed request refused", zap.String("request", request.ID), zap.String("from", string(request.From)), zap.String("reason", string(refused.reason)))
		relay.WriteNotRun(state, refused.reason, refused.retryAfter)
		return
	}
	if request.Unpaid && !g.budget(service.Name).Take(now, isResumed(request)) {
		relay.WriteNotRun(state, relay.ReasonNoRetries, staleRetryAfter)
		return
	}
	c := g.relayedCall(now, request, service)
	c.room = g.newOwnRoom()
	defer c.room.close()
	if err := g.ends.admit(now, c); err != nil {
		g.respondError(state, c, notRunResponse(err))
		return
	}
	g.serveAdmitted(state, r, c)
}

// relayRefusal is why a relayed request is not served.
type relayRefusal struct {
	reason     relay.Reason
	retryAfter time.Duration
}

// admitRelayed returns the service of a relayed request, or why it is not served.
func (g *Gateway) admitRelayed(now time.Time, request *relay.Request) (*deployment.Service, *relayRefusal) {
	if g.Leaving() {
		return nil, &relayRefusal{relay.ReasonLeaving, cutOffRetryAfter}
	}
	table, ok := g.RoutingTable.Load()
	if !ok || table.Version() < request.Version {
		return nil, &relayRefusal{relay.ReasonStaleConfiguration, staleRetryAfter}
	}
	service, ok := table.Service(request.Service)
	if !ok {
		return nil, &relayRefusal{relay.ReasonNoService, configurationRetryAfter}
	}
	if g.Links.Unreachable(now, service) && !g.Links.SomeUp(now, service.Name) {
		return nil, &relayRefusal{relay.ReasonCutOff, cutOffRetryAfter}
	}
	return service, nil
}

// relayedCall returns the call of a relayed request.
func (g *Gateway) relayedCall(now time.Time, request *relay.Request, service *deployment.Service) *call {
	c := &call{
		id: request.ID, started: now, deadline: now.Add(request.Remaining), service: service, version: request.Version,
		decision: routing.Decision{Route: request.Route.Configured(), Team: request.Team, Rank: request.Rank},
		request: backend.Request{
			Method: request.Method, URI: request.URI, Host: request.Host, ID: request.ID, Header: request.Header, Body: request.Body,
		},
		parts: platform.ParsePromptParts(request.Header), size: platform.ParseRequestSize(request.Header),
		relayed: &relayedFrom{
			instance: request.From, ran: request.Ran, resumed: isResumed(request),
		},
	}
	if table, ok := g.RoutingTable.Load(); ok {
		c.priorityHeader = priorityHeader(table, service.Name, request.Rank)
	}
	c.request.Memory = c
	c.keys = keysOf(c)
	return c
}

// isResumed reports whether the client of a relayed request has a part of the response.
func isResumed(request *relay.Request) bool {
	return request.Repeat && request.Header.Get(platform.HeaderLastEventID) != ""
}

// relayedFrom is what a peer has told of a request that it relayed.
type relayedFrom struct {
	instance deployment.InstanceID
	ran      []deployment.BackendID // first stages that may have run the request
	resumed  bool                   // the client has a part of the response
}

// markAnswered marks a response to a relayed request as that of a backend server, one of those that ran
// the request. It is called before the header is written.
func (c *call) markAnswered(header http.Header, by deployment.Incarnation, ran []deployment.BackendID) {
	if c.relayed != nil {
		relay.SetAnswered(header, ran)
		relay.SetAnsweredBy(header, by)
	}
}

// respondToPeer writes an error response to a relayed request.
func respondToPeer(w http.ResponseWriter, e *errorResponse) {
	if e.status != http.StatusServiceUnavailable {
		relay.WriteUnknown(w, e.ran)
		return
	}
	reason := relay.ReasonNoCapacity
	switch {
	case e.code == heldBackCode:
		reason = relay.ReasonHeldBack
	case isCutOff(e.cause):
		reason = relay.ReasonCutOff
	}
	relay.WriteNotRun(w, reason, e.retryAfter)
}
