package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/pipeline"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// dispatchInterval is the interval between checks for capacity while requests wait.
const dispatchInterval = 20 * time.Millisecond

// reservation is a path with the in-flight request that is counted on its stages.
type reservation struct {
	path     pipeline.Path
	inFlight *backend.InFlightRequest
	queued   time.Duration // how long the request waited for it
	// budget is the one from which a retry was taken for it, nil if none was.
	budget *retrybudget.WindowBudget
	// connection is open to the first stage, nil if none was opened yet.
	connection *backend.Connection
	crossing   *crossing // nil unless the path begins in another zone
}

// noCapacityError reports a rejection: the wait for capacity reaches the time that the
// client is assumed to wait.
type noCapacityError struct {
	retryAfter time.Duration
	waited     time.Duration
	cause      error
}

func (e *noCapacityError) Error() string {
	return fmt.Sprintf("waited %s for capacity, retry after %s: %v", e.waited.Round(time.Millisecond), e.retryAfter.Round(time.Millisecond), e.cause)
}

func (e *noCapacityError) Unwrap() error { return e.cause }

// reserver is a request that can reserve capacity.
type reserver interface {
	// ready returns an error if the request may not be sent now. After one for which
	// turnedAway reports true it does not wait any longer.
	ready(now time.Time) error
	// reserve finds a path and counts the request on it.
	reserve(now time.Time) (reservation, error)
	// capacity returns the capacity of the service.
	capacity(now time.Time) admission.Capacity
	// restricted reports whether other requests may find a path where this one finds none.
	restricted() bool
}

// waiter is a request in the queue of a model service.
type waiter struct {
	request    *admission.Request
	reserver   reserver
	reserved   chan reservation // capacity 1
	rejected   chan struct{}    // closed on rejection, after retryAfter or turnedAway is set
	retryAfter time.Duration
	turnedAway bool // it must not wait, for lastErr
	enqueued   time.Time
	heldBack   bool // at least once
	// lastErr is why the last check made no reservation. It is nil if the request was
	// never checked because earlier ones got no reservation.
	lastErr error
}

// queue assigns the capacity of a model service to its requests.
type queue struct {
	mu        sync.Mutex
	admission admission.Queue
	waiters   map[*admission.Request]*waiter
	running   bool
	// capacity is what capacityOf returned last, nil once it must be computed anew.
	capacity *admission.Capacity
	observer queueObserver
}

func newQueue(observer queueObserver) *queue {
	return &queue{waiters: map[*admission.Request]*waiter{}, observer: observer}
}

// turnedAway reports whether a request does not wait after an error of ready.
func turnedAway(err error) bool {
	return heldBackOf(err) != nil || errors.Is(err, errPathResponds) || errors.Is(err, errCutOff)
}

// acquire waits for a reservation. The error is a *noCapacityError, one for which turnedAway
// reports true, or that of ctx.
func (q *queue) acquire(ctx context.Context, request *admission.Request, reserver reserver) (reservation, error) {
	now := time.Now()
	if err := reserver.ready(now); turnedAway(err) {
		return reservation{}, err
	}
	w, result, ok := q.reserveOrEnqueue(now, request, reserver)
	if ok {
		return result, nil
	}
	select {
	case granted := <-w.reserved:
		granted.queued = time.Since(w.enqueued)
		return granted, nil
	case <-w.rejected:
		if w.turnedAway {
			return reservation{}, w.lastErr
		}
		return reservation{}, &noCapacityError{retryAfter: w.retryAfter, waited: time.Since(w.enqueued), cause: w.lastErr}
	case <-ctx.Done():
		q.abandon(w)
		return reservation{}, ctx.Err()
	}
}

// reserveOrEnqueue reserves capacity at once if no waiting request goes before the new one.
// Otherwise, or without capacity, it adds the request to the queue.
func (q *queue) reserveOrEnqueue(now time.Time, request *admission.Request, reserver reserver) (*waiter, reservation, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = nil
	lastErr := reserver.ready(now)
	q.admission.RecordArrival(now, request)
	if lastErr == nil && !q.admission.Preceded(now, request) {
		var result reservation
		if result, lastErr = q.reserve(now, request, reserver); lastErr == nil {
			q.admission.Admit(now, request)
			q.observer.admitted(request, 0)
			return nil, result, true
		}
	}
	w := &waiter{request: request, reserver: reserver, enqueued: now, lastErr: lastErr, reserved: make(chan reservation, 1), rejected: make(chan struct{})}
	q.waiters[request] = w
	q.admission.Push(now, request)
	q.observer.enqueued(request)
	q.recordHeldBack(w)
	if !q.running {
		q.running = true
		go q.run()
	}
	return w, reservation{}, false
}

// reserve reserves capacity. The error is a *leftToOthersError if the request must leave what is
// free to more urgent ones.
func (q *queue) reserve(now time.Time, request *admission.Request, reserver reserver) (reservation, error) {
	decision := q.admission.Decide(now, request, func() admission.Capacity { return q.capacityOf(now, reserver) })
	if !decision.Admitted {
		return reservation{}, &leftToOthersError{Decision: decision}
	}
	q.capacity = nil
	return reserver.reserve(now)
}

// capacityOf returns the capacity of the service. During a dispatch it is computed once until the
// next reservation, since it takes as long as the search for a path.
func (q *queue) capacityOf(now time.Time, reserver reserver) admission.Capacity {
	if q.capacity == nil {
		capacity := reserver.capacity(now)
		q.capacity = &capacity
	}
	return *q.capacity
}

// leftToOthersError reports that a request was held back for more urgent ones of the zone.
type leftToOthersError struct{ admission.Decision }

func isLeftToOthers(err error) bool {
	var left *leftToOthersError
	return errors.As(err, &left)
}

func (e *leftToOthersError) Error() string {
	return fmt.Sprintf("%d free slots are left to more urgent requests: %.1f wait at other instances, as reported up to %s ago, and %.1f are expected",
		e.Capacity.Free, e.Elsewhere, e.OldestAge.Round(time.Millisecond), e.Arriving)
}

// recordUse records the work that an admitted request has used, in milliseconds.
func (q *queue) recordUse(request *admission.Request, work float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.RecordUse(request, work)
}

// abandon removes a waiter whose context has ended and releases a reservation that was
// made in the meantime.
func (q *queue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters[w.request] == w {
		q.admission.Remove(w.request)
		q.forget(w)
	}
	select {
	case result := <-w.reserved:
		result.release(time.Now())
	default:
	}
}

// forget removes a waiter that no longer waits.
func (q *queue) forget(w *waiter) {
	delete(q.waiters, w.request)
	q.observer.left(w.request)
}

// recordHeldBack records the first time that a waiter leaves free capacity to others.
func (q *queue) recordHeldBack(w *waiter) {
	var left *leftToOthersError
	if !w.heldBack && errors.As(w.lastErr, &left) {
		w.heldBack = true
		q.observer.heldBack(w.request, &left.Decision)
	}
}

// run dispatches reservations while requests wait.
func (q *queue) run() {
	for q.dispatch(time.Now()) {
		time.Sleep(dispatchInterval)
	}
}

// dispatch makes reservations for waiting requests in the order of admission and
// rejects those that would wait too long. It reports whether requests still wait.
func (q *queue) dispatch(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = nil
	for _, request := range q.admission.Ordered(now) {
		w := q.waiters[request]
		if w.lastErr = w.reserver.ready(now); w.lastErr != nil {
			if w.turnedAway = turnedAway(w.lastErr); w.turnedAway {
				q.admission.Remove(request)
				q.forget(w)
				close(w.rejected)
			}
			request.Blocked = true
			continue
		}
		var result reservation
		if result, w.lastErr = q.reserve(now, request, w.reserver); w.lastErr != nil {
			q.recordHeldBack(w)
			if request.Blocked = w.reserver.restricted(); request.Blocked || isLeftToOthers(w.lastErr) {
				continue
			}
			break // the requests behind it would find no path either
		}
		q.admission.Admit(now, request)
		q.forget(w)
		q.observer.admitted(request, now.Sub(w.enqueued))
		w.reserved <- result
	}
	for _, rejection := range q.admission.Shed(now) {
		w := q.waiters[rejection.Request]
		q.forget(w)
		q.observer.rejected(&rejection, now.Sub(w.enqueued), w.lastErr)
		w.retryAfter = rejection.RetryAfter
		close(w.rejected)
	}
	q.running = q.admission.Len() > 0
	return q.running
}
