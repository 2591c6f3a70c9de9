package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/relay"
)

// peerRetryInterval is the interval at which a stream that has begun looks for a peer.
const peerRetryInterval = 100 * time.Millisecond

// unknownServer stands for the first stages of a request that a peer may have sent, where the
// peer has named none.
const unknownServer deployment.BackendID = ""

// pathSuccessor is what follows an attempt that a stream has left: a *reservation or a
// *relayedAnswer.
type pathSuccessor interface {
	// release gives it back unused.
	release(now time.Time)
}

func (a *relayedAnswer) release(time.Time) { a.close() }

// offer returns what is offered to the peers for the next attempt of a stream.
func (p *pathRequest) offer() *relayOffer {
	named := maps.Clone(p.ran)
	delete(named, unknownServer)
	offer := &relayOffer{
		call: p.call, repeat: p.arrived, resumed: p.resumed, avoid: p.avoid, ran: slices.Sorted(maps.Keys(named)), unnamed: len(p.ran) - len(named),
	}
	if p.hasLastEventID {
		offer.lastID = strconv.FormatInt(p.lastEventID, 10)
	}
	return offer
}

// successor waits for another path for a stream in flight or, if the servers can't be reached
// from here, for the answer of a peer.
func (g *Gateway) successor(ctx context.Context, request *pathRequest) (pathSuccessor, error) {
	if g.mustRelay(time.Now(), request.call) {
		return g.seekAnswer(ctx, request)
	}
	reserved, err := g.acquireConnected(ctx, request)
	if errors.Is(err, errCutOff) && g.mustRelay(time.Now(), request.call) {
		return g.seekAnswer(ctx, request)
	}
	if err != nil {
		return nil, err
	}
	return &reserved, nil
}

// seekAnswer lets a peer serve a stream in flight, and returns its answer once that has begun.
// The answer is canceled if ctx ends before.
func (g *Gateway) seekAnswer(ctx context.Context, request *pathRequest) (pathSuccessor, error) {
	offer := request.offer()
	offer.repeat = true
	answerCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), request.call.deadline)
	stop := context.AfterFunc(ctx, cancel)
	answer, err := g.offer(answerCtx, offer)
	if err != nil {
		cancel()
		request.recordSearch(err)
		return nil, err
	}
	answer.ended = joinFuncs(answer.ended, cancel)
	request.recordRan(answer.Ran)
	if !stop() {
		answer.close()
		return nil, ctx.Err()
	}
	return answer, nil
}

func joinFuncs(first func(), second func()) func() {
	return func() {
		first()
		second()
	}
}

// unreachable reports whether the servers of a request can't be reached from here. If only some
// can, and no peer is better off, they are.
func (g *Gateway) unreachable(now time.Time, c *call) bool {
	if g.Links == nil || !g.Links.Unreachable(now, c.service) {
		return false
	}
	return !g.Links.SomeUp(now, c.service.Name) || c.relayed == nil && g.peerUsable(now, c.service.Name)
}

// peerUsable reports whether there is a peer that may reach a service.
func (g *Gateway) peerUsable(now time.Time, service deployment.ServiceName) bool {
	return g.Peers != nil && g.Peers.Usable(now, g.refusals.recent(now, service))
}

// mustRelay reports whether a request can only be served by a peer.
func (g *Gateway) mustRelay(now time.Time, c *call) bool {
	return c.relayed == nil && g.Peers != nil && g.unreachable(now, c)
}

// relay lets a peer serve the stream, since this instance does not reach the servers. A stream
// of which the client has a part waits for a peer for a while.
func (s *stream) relay(ctx context.Context) (streamOutcome, error) {
	request := s.pathRequest()
	if err := s.gateway.ends.admit(time.Now(), s.call); err != nil {
		return 0, err
	}
	s.countAttempt()
	for {
		answer, err := s.gateway.offer(ctx, request.offer())
		if err == nil {
			return s.followPeer(ctx, answer)
		}
		if request.resumed && mayTakeLater(err) && time.Now().Before(request.deadline()) && sleep(ctx, peerRetryInterval) && s.gateway.mustRelay(time.Now(), s.call) {
			continue
		}
		s.recordRefusal(err)
		return 0, err
	}
}

// mayTakeLater reports whether a request that no peer has taken may be taken in a moment.
func mayTakeLater(err error) bool {
	var noPeer *noPeerError
	var refused *refusedError
	noCapacity := errors.As(err, &refused) && refused.Reason == relay.ReasonNoCapacity
	return errors.As(err, &noPeer) || noCapacity
}

// recordSearch records what the search for a peer tells of servers that may have run the stream.
func (p *pathRequest) recordSearch(err error) {
	var unknown *relayUnknownError
	if errors.As(err, &unknown) {
		p.recordRan(unknown.ran)
	}
}

// recordRan records the first stages that may have run the stream in a search for a peer.
func (p *pathRequest) recordRan(ran []deployment.BackendID) {
	if p.stream != nil {
		p.stream.recordSearch(ran)
	}
}

// sleep waits. It returns false if ctx ends before.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// recordRefusal records whether a relayed request that was not answered has run.
func (s *stream) recordRefusal(err error) {
	s.brokenBy = brokenByPeer
	var unknown *relayUnknownError
	if !errors.As(err, &unknown) {
		s.recordNotRun(err)
		return
	}
	s.recordRelayed(unknown.ran)
}

// recordRelayed records the first stages that may have run the request at a peer. Without
// one that is known, the peer itself counts as one.
func (s *stream) recordRelayed(ran []deployment.BackendID) {
	s.notRunCause = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addRan(ran)
}

// recordSearch records a search for a peer that may have run the stream. It may be called while
// the stream is in flight.
func (s *stream) recordSearch(ran []deployment.BackendID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searches++
	s.addRan(ran)
}

// addRan is called with mu held.
func (s *stream) addRan(ran []deployment.BackendID) {
	s.arrived = true
	for _, id := range ran {
		s.ran[id] = true
	}
	if len(s.ran) == 0 {
		s.ran[unknownServer] = true
	}
}

// followPeer forwards a peer's response to the client.
func (s *stream) followPeer(ctx context.Context, answer *relayedAnswer) (streamOutcome, error) {
	defer answer.close()
	defer context.AfterFunc(ctx, answer.Response.Close)()
	s.recordRelayed(answer.Ran)
	s.gateway.recordRelayedStatement(time.Now(), s.call, answer)
	s.answeredBy = answer.By
	response := &backend.Response{Response: &http.Response{
		StatusCode: answer.Response.Status, Header: answer.Response.Header, Body: io.NopCloser(answer.Response.Body),
	}}
	watch := newPeerWatch(s, answer)
	stop := watch.run(ctx)
	outcome, err := s.forward(ctx, response, watch)
	stop()
	s.next = watch.next
	s.recordBreak(peerBreakCause(err, watch.next != nil), watch.hadEvents())
	return outcome, err
}

// peerBreakCause returns why the response of a peer broke off. left reports whether this
// instance left it.
func peerBreakCause(err error, left bool) breakCause {
	if cause := breakCauseOf(err, left); cause != brokenByServer {
		return cause
	}
	return brokenByPeer
}
