package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/pipeline"
)

// dispatchEvery is the pause between looks for capacity while requests wait.
const dispatchEvery = 20 * time.Millisecond

// place is a path with the work that is counted on it.
type place struct {
	path pipeline.Path
	work *backend.InFlightRequest
}

// noCapacityError refuses a request that would wait for longer than its client.
type noCapacityError struct {
	pause    time.Duration
	waited   time.Duration
	obstacle error
}

func (e *noCapacityError) Error() string {
	return fmt.Sprintf("waited %s, come back after %s: %v", e.waited.Round(time.Millisecond), e.pause.Round(time.Millisecond), e.obstacle)
}

func (e *noCapacityError) Unwrap() error { return e.obstacle }

// seeker is what waits for a place.
type seeker interface {
	// ready says why no place may be looked for, nil where it may.
	ready(now time.Time) error
	// place finds a path and counts the work on it, or says why there is none.
	place(now time.Time) (place, error)
}

// waiter is a request in the queue of a model service.
type waiter struct {
	request *admission.Request
	seeker  seeker
	placed  chan place    // capacity 1
	refused chan struct{} // closed on refusal, after pause is set
	pause   time.Duration
	joined  time.Time
	blocked error // why it got no place when it was looked at last
}

// queue hands the capacity of a model service to its requests.
type queue struct {
	mu      sync.Mutex
	line    admission.Queue
	waiters map[*admission.Request]*waiter
	running bool
}

func newQueue() *queue {
	return &queue{waiters: map[*admission.Request]*waiter{}}
}

// take waits for a place. The error is a *noCapacityError or that of ctx.
func (q *queue) take(ctx context.Context, request *admission.Request, seeker seeker) (place, error) {
	w, found, ok := q.join(time.Now(), request, seeker)
	if ok {
		return found, nil
	}
	select {
	case got := <-w.placed:
		return got, nil
	case <-w.refused:
		return place{}, &noCapacityError{pause: w.pause, waited: time.Since(w.joined), obstacle: w.blocked}
	case <-ctx.Done():
		q.abandon(w)
		return place{}, ctx.Err()
	}
}

// join takes a place at once where nobody waits, and else waits in the queue.
func (q *queue) join(now time.Time, request *admission.Request, seeker seeker) (*waiter, place, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	blocked := seeker.ready(now)
	if (q.line.Len() == 0 || request.Resumed) && blocked == nil {
		var found place
		if found, blocked = seeker.place(now); blocked == nil {
			q.line.Admit(now, request)
			return nil, found, true
		}
	}
	w := &waiter{request: request, seeker: seeker, joined: now, blocked: blocked, placed: make(chan place, 1), refused: make(chan struct{})}
	q.waiters[request] = w
	q.line.Push(now, request)
	if !q.running {
		q.running = true
		go q.run()
	}
	return w, place{}, false
}

// abandon takes out a waiter whose client has left. A place that it got meanwhile
// is given back.
func (q *queue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line.Remove(w.request)
	delete(q.waiters, w.request)
	select {
	case got := <-w.placed:
		got.work.Done(time.Now(), backend.Inconclusive)
	default:
	}
}

// run hands out places as long as requests wait.
func (q *queue) run() {
	for q.dispatch(time.Now()) {
		time.Sleep(dispatchEvery)
	}
}

// dispatch hands out the places that are free now. It reports whether requests
// still wait.
func (q *queue) dispatch(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, request := range q.line.Ordered(now) {
		w := q.waiters[request]
		if w.blocked = w.seeker.ready(now); w.blocked != nil {
			continue
		}
		var found place
		if found, w.blocked = w.seeker.place(now); w.blocked != nil {
			break // those behind it would find no path either
		}
		q.line.Admit(now, request)
		delete(q.waiters, request)
		w.placed <- found
	}
	for _, refusal := range q.line.Shed(now) {
		w := q.waiters[refusal.Request]
		delete(q.waiters, refusal.Request)
		w.pause = refusal.RetryAfter
		close(w.refused)
	}
	q.running = q.line.Len() > 0
	return q.running
}
