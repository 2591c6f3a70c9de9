package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// peerStallThreshold is the time without an event after which another path is sought for a
// stream that a peer serves, which itself looks for one after stallThreshold. If the peer is
// known to have lost its links, stallThreshold applies here too.
const peerStallThreshold = 1500 * time.Millisecond

// peerWatch detects that a peer which serves a stream no longer can, and leaves it once another
// path is reserved. It implements eventObserver.
type peerWatch struct {
	stream    *stream
	answer    *relayedAnswer
	begun     time.Time
	lastEvent atomic.Int64  // Unix nanoseconds
	next      pathSuccessor // for which the peer was left, nil if it was not; to be read after stop
	avoid     map[deployment.InstanceID]bool
}

func newPeerWatch(s *stream, answer *relayedAnswer) *peerWatch {
	w := &peerWatch{stream: s, answer: answer, begun: time.Now(), avoid: map[deployment.InstanceID]bool{answer.peer: true}}
	w.lastEvent.Store(w.begun.UnixNano())
	return w
}

// observeEvent implements eventObserver.
func (w *peerWatch) observeEvent(now time.Time) { w.lastEvent.Store(now.UnixNano()) }

// hadEvents reports whether an event has arrived from the peer.
func (w *peerWatch) hadEvents() bool { return w.lastEvent.Load() != w.begun.UnixNano() }

// run watches until stop is called, which waits for the end.
func (w *peerWatch) run(ctx context.Context) (stop func()) {
	if !w.stream.call.decision.Route.Resumable {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for w.next == nil && sleep(ctx, monitorInterval) {
			w.check(ctx)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// check leaves the peer if the stream has stalled and another path is found.
func (w *peerWatch) check(ctx context.Context) {
	since := w.lastEvent.Load()
	if !w.stalled(time.Now(), since) {
		return
	}
	request := w.stream.pathRequest()
	if request.attempts >= maxStreamAttempts {
		return
	}
	request.avoid = w.avoid
	request.needed = func() bool { return w.stalled(time.Now(), since) }
	ctx, cancel := context.WithTimeout(ctx, peerStallThreshold)
	defer cancel()
	next, err := w.stream.gateway.successor(ctx, &request)
	if err != nil {
		return // the peer may go on; the next check tries again
	}
	if !request.needed() {
		next.release(time.Now())
		return
	}
	w.next = next
	w.answer.Response.Close()
}

// stalled reports whether the stream has got no event since a time, for too long.
func (w *peerWatch) stalled(now time.Time, since int64) bool {
	silence := now.Sub(time.Unix(0, since))
	if w.lastEvent.Load() != since || silence < stallThreshold {
		return false
	}
	return silence >= peerStallThreshold || w.stream.gateway.Peers.CutOff(now, w.answer.peer)
}
