package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/platform"
)

// maxRelayPeers bounds the peers to which one attempt of a request is offered. Those that
// refuse have not run it.
const maxRelayPeers = 4

// minOfferTime is the minimum time within which the answer of a peer must begin, if another one
// may be asked.
const minOfferTime = time.Second

// errCutOff reports that this instance does not reach the backend servers of a service.
var errCutOff = errors.New("the backend servers can't be reached from here")

// isCutOff reports whether an error says that this instance does not reach the servers.
func isCutOff(err error) bool {
	var noPeer *noPeerError
	return errors.Is(err, errCutOff) || errors.Is(err, backend.ErrCutOff) || errors.As(err, &noPeer)
}

// noPeerError reports that no peer takes a request that can't be served from here.
type noPeerError struct {
	offered    int // peers that refused it
	retryAfter time.Duration
	cause      error // of the last refusal, nil without one
}

func (e *noPeerError) Error() string {
	return fmt.Sprintf("no peer takes the request, %d have refused it: %v", e.offered, e.cause)
}

func (e *noPeerError) Unwrap() error { return e.cause }

// refusedError reports that a peer has refused a request, which has not run.
type refusedError struct {
	peer deployment.InstanceID
	relay.NotRun
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("instance %s: %s: %v", e.peer, e.Reason, e.Cause)
}

func (e *refusedError) Unwrap() error { return e.Cause }

// relayOffer is a request to be relayed.
type relayOffer struct {
	call *call
	// repeat is set if an earlier attempt may have reached a backend server.
	repeat  bool
	resumed bool                   // the client has a part of the response
	ran     []deployment.BackendID // servers that may have run the request
	unnamed int                    // further servers that may have, which no peer has named
	lastID  string                 // of the last event that the client has, empty if none
	avoid   map[deployment.InstanceID]bool
}

// relayedAnswer is a response that a peer returns.
type relayedAnswer struct {
	peer deployment.InstanceID
	relay.Answered
	ended func() // counts the request as no longer in flight at the peer
}

// close closes the connection to the peer, which cancels the request if it is not complete.
func (a *relayedAnswer) close() {
	a.Response.Close()
	a.ended()
}

// relayUnknownError reports that a relayed request may have run.
type relayUnknownError struct {
	peer  deployment.InstanceID
	ran   []deployment.BackendID
	cause error
}

func (e *relayUnknownError) Error() string {
	return fmt.Sprintf("relayed to instance %s, outcome unknown: %v", e.peer, e.cause)
}

func (e *relayUnknownError) Unwrap() error { return e.cause }

// offer relays a request to the peers, one after the other, until one takes it. Errors are a
// *noPeerError or a *refusedError, both of which mean that no server has run it in this attempt,
// or a *relayUnknownError.
func (g *Gateway) offer(ctx context.Context, offer *relayOffer) (*relayedAnswer, error) {
	tried := g.refusals.recent(time.Now(), offer.call.service.Name)
	maps.Copy(tried, offer.avoid)
	refused := &noPeerError{retryAfter: cutOffRetryAfter, cause: errCutOff}
	size := int64(len(offer.call.request.Body))
	release, ok := g.HoldRelayed(size) // for the copy that is sent
	if !ok {
		refused.cause = &clientbudget.ShortageError{Size: size, Held: g.Clients.Stats().Held}
		return nil, refused
	}
	defer release()
	for range maxRelayPeers {
		peer, ended, ok := g.Peers.Begin(time.Now(), g.Settings.Zone, tried)
		if !ok || ctx.Err() != nil {
			ended()
			return nil, refused
		}
		tried[peer.ID] = true
		answer, err := g.offerTo(ctx, offer, peer)
		if err == nil {
			answer.ended = ended
			return answer, nil
		}
		ended()
		if ctx.Err() != nil {
			return nil, err
		}
		var refusal *refusedError
		if !errors.As(err, &refusal) || refusal.final() {
			return nil, err
		}
		g.learnRefusal(offer.call.service.Name, refusal)
		refused.offered++
		refused.cause = err
	}
	return nil, refused
}

// final reports whether other peers would refuse the request as well.
func (e *refusedError) final() bool {
	switch e.Reason {
	case relay.ReasonHeldBack, relay.ReasonNoCapacity, relay.ReasonTooLarge, relay.ReasonInvalid:
		return true
	default:
		return false
	}
}

// learnRefusal records what a refusal tells of the peer.
func (g *Gateway) learnRefusal(service deployment.ServiceName, refusal *refusedError) {
	now := time.Now()
	switch refusal.Reason {
	case relay.ReasonCutOff, relay.ReasonNoService:
		g.refusals.record(now, service, refusal.peer) // it may reach other services
	case relay.ReasonNotSent:
		g.Peers.SetReaching(now, refusal.peer, false)
	case relay.ReasonLeaving, relay.ReasonNotAllowed:
		g.Peers.SetLeaving(refusal.peer) // or it is another process, whose key is not known yet
	default:
	}
}

// offerTo relays a request to one peer. A retry is taken from this instance's part of the budget
// or, once that is spent, by the peer from its own.
func (g *Gateway) offerTo(ctx context.Context, offer *relayOffer, peer relay.Peer) (*relayedAnswer, error) {
	now := time.Now()
	budget := g.budget(offer.call.service.Name)
	paid := offer.repeat && budget.Take(now, offer.resumed)
	request := g.relayRequest(now, offer)
	request.Unpaid = offer.repeat && !paid
	ctx, cancel := g.offerContext(ctx, offer)
	outcome := g.relayClient.Send(ctx, peer, request, offer.call)
	if _, notRun := outcome.(relay.NotRun); notRun && paid {
		budget.GiveBack()
	}
	err := g.relayError(peer, outcome, offer)
	g.logRelay(offer, peer, time.Since(now), err)
	answered, ok := outcome.(relay.Answered)
	if !ok {
		cancel()
		return nil, err
	}
	if !cancel() {
		answered.Response.Close()
		return nil, &relayUnknownError{peer: peer.ID, ran: answered.Ran, cause: context.DeadlineExceeded}
	}
	return &relayedAnswer{peer: peer.ID, Answered: answered}, nil
}

// offerContext returns the context of an offer. If the request may be sent again to another
// peer, it ends when the answer takes too long to begin, as the peer may stand still. cancel
// lifts that limit; it returns false if the limit was reached.
func (g *Gateway) offerContext(parent context.Context, offer *relayOffer) (ctx context.Context, cancel func() bool) {
	route := offer.call.decision.Route
	if !route.Resumable && route.Kind != deployment.Idempotent {
		return parent, func() bool { return true }
	}
	ctx, end := context.WithCancel(parent)
	timer := time.AfterFunc(max(minOfferTime, attemptTimeoutTargets*route.TargetLatency), end)
	return ctx, timer.Stop
}

// relayError returns the error of an outcome, nil if the peer has answered.
func (g *Gateway) relayError(peer relay.Peer, outcome relay.Outcome, offer *relayOffer) error {
	switch outcome := outcome.(type) {
	case relay.NotRun:
		return &refusedError{peer: peer.ID, NotRun: outcome}
	case relay.Unknown:
		if len(outcome.Ran) == 0 {
			g.refusals.record(time.Now(), offer.call.service.Name, peer.ID) // it has broken off, or did not answer in time
		}
		return &relayUnknownError{peer: peer.ID, ran: outcome.Ran, cause: outcome.Cause}
	}
	return nil
}

func (g *Gateway) relayRequest(now time.Time, offer *relayOffer) relay.Request {
	c := offer.call
	header := c.request.Header.Clone()
	if offer.lastID != "" {
		header.Set(platform.HeaderLastEventID, offer.lastID)
	}
	route := relay.RouteOf(c.decision.Route)
	route.MaxAttempts = max(1, route.MaxAttempts-offer.unnamed)
	return relay.Request{
		From: g.Settings.Instance, ID: c.id, Remaining: c.remaining(now), Version: c.version, Service: c.service.Name,
		Route: route, Rank: c.decision.Rank, Team: c.decision.Team, Repeat: offer.repeat,
		Ran: offer.ran, Method: c.request.Method, URI: c.request.URI, Host: c.request.Host, Header: header, Body: c.request.Body,
	}
}

func (g *Gateway) logRelay(offer *relayOffer, peer relay.Peer, took time.Duration, err error) {
	g.Logger.Info("request relayed", zap.String("request", offer.call.id), zap.String("to", string(peer.ID)), zap.String("zone", string(peer.Zone)),
		zap.Bool("repeat", offer.repeat), zap.String("last-event", offer.lastID), zap.Duration("took-ms", took), zap.NamedError("cause", err))
}
