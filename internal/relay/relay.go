// Package relay hands a client's request from an instance that has lost its links to the
// backend servers to a peer that reaches them. A request is relayed at most once, over a
// connection of its own to the peer's address.
//
// Usage, at the instance that received the request:
//
//	peer, ended, ok := directory.Begin(now, zone, tried)
//	defer ended()
//	switch outcome := client.Send(ctx, peer, request).(type) {
//	case relay.Answered:
//		defer outcome.Response.Close()
//	case relay.NotRun: // may be sent to another peer
//	case relay.Unknown: // may have run
//	}
//
// Usage, at the peer: serve a Handler at Path, only on the address for peers.
//
//	mux.Handle(relay.Path, relay.NewHandler(relay.HandlerConfig{...}))
//
// The first instance alone decides the route, the team and the rank, and takes retries
// from the budget. The peer chooses the backend servers. Its Server gets the decoded request
// and writes the response: after SetAnswered that of a backend server, else by WriteNotRun
// or WriteUnknown. A response without one of these outcomes counts as unknown.
//
// Only an instance that knows the peer's Key may relay to it. Instances tell one another
// their keys in the platform's store, and nowhere else.
package relay

import (
	"net/http"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

// Path is the path of a Handler on the address for peers.
const Path = "/v1/relay"

// Request is a client's request with what the instance that received it has decided.
type Request struct {
	From deployment.InstanceID // the instance that received the request
	ID   string                // from the client
	// Remaining is the time that is left until the deadline when the request is sent.
	Remaining time.Duration
	Version   deployment.Version // of the configuration by which the request was routed
	Service   deployment.ServiceName
	Route     Route
	Rank      routing.Rank
	Team      deployment.Team // may be empty
	// Repeat is set if an earlier attempt may have reached a backend server. The sender has
	// taken this retry from its part of the budget unless Unpaid is set: then the receiver takes
	// it from its own, or refuses the request.
	Repeat bool
	Unpaid bool
	Ran    []deployment.BackendID // first stages that may have run the request
	Method string
	URI    string // path and query as received from the client
	Host   string
	Header http.Header // as sent to a backend server
	Body   []byte
}

// Route is the part of a route that applies after the service was chosen.
type Route struct {
	Name           deployment.RouteName
	Kind           deployment.RequestKind
	Timeout        time.Duration
	TargetLatency  time.Duration
	TargetEventGap time.Duration
	MaxAttempts    int
	Resumable      bool
}

// RouteOf returns the part of a configured route that is sent to a peer.
func RouteOf(route *deployment.Route) Route {
	return Route{
		Name: route.Name, Kind: route.Kind, Timeout: route.Timeout, TargetLatency: route.TargetLatency,
		TargetEventGap: route.TargetEventGap, MaxAttempts: route.MaxAttempts, Resumable: route.Resumable,
	}
}

// Configured returns a route without host, path, priority and targets.
func (r Route) Configured() *deployment.Route {
	return &deployment.Route{
		Name: r.Name, Kind: r.Kind, Timeout: r.Timeout, TargetLatency: r.TargetLatency,
		TargetEventGap: r.TargetEventGap, MaxAttempts: r.MaxAttempts, Resumable: r.Resumable,
	}
}

// Peer is another instance to which requests can be relayed.
type Peer struct {
	ID      deployment.InstanceID
	Zone    deployment.Zone
	Address deployment.Address
	Key     Key
}

// Outcome is what became of a relayed request: Answered, NotRun or Unknown.
type Outcome interface{ isOutcome() }

// Answered means that the peer returned the response of a backend server. The response may
// still break off.
type Answered struct {
	Ran      []deployment.BackendID // first stages that may have run the request
	By       deployment.Incarnation // whose response it is, zero if the peer does not tell
	Response *Response
}

// NotRun means that no backend server has run the relayed request and none will.
type NotRun struct {
	Reason     Reason
	RetryAfter time.Duration // when to come back to the peer, 0 if it named no time
	Cause      error         // nil if the peer refused the request
}

// Unknown means that a backend server may have run the request.
type Unknown struct {
	Ran   []deployment.BackendID // as far as the peer has told
	Cause error
}

func (Answered) isOutcome() {}
func (NotRun) isOutcome()   {}
func (Unknown) isOutcome()  {}

// Reason is why a request was not run. A peer of another version may name others.
type Reason string

// The reasons of a peer, and ReasonNotSent of this instance's own Client.
const (
	ReasonCutOff             Reason = "cut-off" // the peer does not reach backend servers either
	ReasonLeaving            Reason = "leaving"
	ReasonBusy               Reason = "busy"
	ReasonStaleConfiguration Reason = "stale-configuration"
	ReasonNoService          Reason = "no-service"
	ReasonNotAllowed         Reason = "not-allowed"
	ReasonHeldBack           Reason = "held-back"
	ReasonNoCapacity         Reason = "no-capacity"
	ReasonTooLarge           Reason = "too-large"
	ReasonTooSlow            Reason = "too-slow"
	ReasonInvalid            Reason = "invalid"
	ReasonNoRetries          Reason = "no-retries" // the receiver's part of the budget is spent
	ReasonNotSent            Reason = "not-sent"
)
