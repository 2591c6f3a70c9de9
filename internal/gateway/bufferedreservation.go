package gateway

import (
	"context"
	"maps"
	"time"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

// bufferedReservation is a backend server that is reserved for an attempt.
type bufferedReservation struct {
	inFlight   *backend.InFlightRequest
	connection *backend.Connection // nil if none was opened yet
	retry      bool                // a retry was taken from the budget for it
}

// takeNext returns the reservation for which the last attempt was left, or else makes one. It
// returns nil without enough time.
func (b *bufferedRequest) takeNext(ctx context.Context) (*bufferedReservation, error) {
	now := time.Now()
	if next := b.next; next != nil && b.gateway.Fleet.TakesRequests(now, next.inFlight.Backend.ID) {
		if err := b.gateway.ends.admit(now, b.call); err != nil {
			return nil, err // run gives the reservation back
		}
		b.next = nil
		return next, nil
	}
	b.releaseNext()
	b.next = nil
	if ctx.Err() != nil || b.call.remaining(now) < minAttemptTime {
		return nil, nil
	}
	return b.reserve(now, b.gateway.Fleet.Pick)
}

// picker chooses a backend server of a plain service, as backend.Fleet.Pick does.
type picker func(now time.Time, service *deployment.Service, zone deployment.Zone, tried map[deployment.BackendID]bool) (*backend.InFlightRequest, bool)

// reserve chooses a backend server for the next attempt. It returns nil without one, or without
// the retry budget. The error is a *heldBackError, errCutOff, a *limitReachedError or a
// *serversWaitError.
func (b *bufferedRequest) reserve(now time.Time, pick picker) (*bufferedReservation, error) {
	if err := b.gateway.ends.admit(now, b.call); err != nil {
		return nil, err
	}
	if b.gateway.unreachable(now, b.call) {
		return nil, errCutOff
	}
	retry := b.arrived
	budget := b.gateway.budget(b.call.service.Name)
	if retry && !budget.CanTake(now, false) {
		return nil, nil
	}
	inFlight, ok := pick(now, b.call.service, b.gateway.Settings.Zone, b.excluded(now))
	if !ok && b.gateway.Fleet.Limited(b.call.service.Name) {
		return nil, newLimitReachedError(b.call.service.Name)
	}
	if !ok {
		return nil, b.gateway.serversWait(now, b.call.service.Name)
	}
	if retry && !budget.Take(now, false) {
		inFlight.Done(now, backend.Inconclusive)
		return nil, nil
	}
	return &bufferedReservation{inFlight: inFlight, retry: retry}, nil
}

// excluded returns the servers that the request must not be sent to.
func (b *bufferedRequest) excluded(now time.Time) map[deployment.BackendID]bool {
	ended := b.gateway.ends.endedServers(now, b.call)
	if len(ended) == 0 {
		return b.tried
	}
	maps.Copy(ended, b.tried)
	return ended
}

// reserveConnected reserves an available backend server in place of one that is slow, and opens
// a connection to it. It returns nil without one.
func (b *bufferedRequest) reserveConnected(ctx context.Context) *bufferedReservation {
	b.arrived = true // as far as is known while the attempt is in flight
	// Without another backend server the attempt goes on: its server may only be slow.
	reserved, _ := b.reserve(time.Now(), b.gateway.Fleet.PickAvailable)
	if reserved == nil {
		return nil
	}
	connection, err := b.gateway.transport.Connect(ctx, reserved.inFlight.Backend.Address)
	if err == nil {
		reserved.connection = connection
		return reserved
	}
	result := backend.Failed
	if ctx.Err() != nil {
		result = backend.Inconclusive
	}
	b.tried[reserved.inFlight.Backend.ID] = true
	b.giveBack(reserved, result)
	return nil
}

// releaseNext gives a reservation back that the request no longer needs.
func (b *bufferedRequest) releaseNext() {
	if b.next == nil {
		return
	}
	if b.next.connection != nil {
		b.next.connection.Close()
	}
	b.giveBack(b.next, backend.Inconclusive)
}

// giveBack gives a reservation back that was not used.
func (b *bufferedRequest) giveBack(reserved *bufferedReservation, result backend.Result) {
	reserved.inFlight.Done(time.Now(), result)
	if reserved.retry {
		b.gateway.budget(b.call.service.Name).GiveBack()
	}
}

// leaveSlowAttempt cancels an attempt that takes too long once another backend server is
// reserved in its place. It returns a function that ends this, which must be called after the
// attempt.
func (b *bufferedRequest) leaveSlowAttempt(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	timeout, ok := b.attemptTimeout()
	if !ok {
		return func() {}
	}
	ctx, stopWaiting := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for wait := timeout; sleep(ctx, wait); wait = nextServerInterval {
			b.next = b.reserveConnected(ctx)
			if b.next != nil || b.peerMayServe(time.Now()) {
				cancel()
				return
			}
		}
	}()
	return func() {
		stopWaiting()
		<-done
	}
}

// attemptTimeout returns after what time an attempt is left for another backend server. It
// returns false if it must not be: the request is not idempotent or has no attempt left.
func (b *bufferedRequest) attemptTimeout() (time.Duration, bool) {
	route := b.call.decision.Route
	mayLeave := route.Kind == deployment.Idempotent && b.ran+1 < route.MaxAttempts && b.call.attempts < maxBufferedAttempts
	return attemptTimeoutTargets * route.TargetLatency, mayLeave && route.TargetLatency > 0
}

// send sends an attempt over the open connection of a reservation, or over a new one.
func (b *bufferedRequest) send(ctx context.Context, reserved *bufferedReservation, request backend.Request) (*backend.Response, error) {
	if reserved.connection != nil {
		return reserved.connection.Send(ctx, request)
	}
	return b.gateway.transport.Send(ctx, reserved.inFlight.Backend.Address, request)
}
