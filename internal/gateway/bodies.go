package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/bodybudget"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const (
	// bodyMemoryShare is the share of the memory limit that request bodies may take.
	bodyMemoryShare = 0.5
	// maxBodyWait is how long a request may wait for room for its body.
	maxBodyWait = 500 * time.Millisecond
	// bodyRetryAfter is sent if there was none.
	bodyRetryAfter = time.Second
	// firstBodyPart is the room for a body of unknown length before any of it was read, which doubles.
	firstBodyPart = 4 << 10
)

// bodyMemoryError reports that there is no memory for a request's body.
type bodyMemoryError struct{ size, held int64 }

func (e *bodyMemoryError) Error() string {
	return fmt.Sprintf("no room for a body of %d bytes beside %d bytes of others", e.size, e.held)
}

// bodies bounds the bytes of the request bodies that this instance holds at a time. It is safe for
// concurrent use.
type bodies struct {
	mu      sync.Mutex
	budget  *bodybudget.Budget
	granted map[*bodybudget.Waiter]chan struct{} // of the waiters, closed once room is held
}

// newBodies returns the bound for an instance with a memory limit in bytes, 0 for none.
func newBodies(memoryLimit int64) *bodies {
	return &bodies{budget: bodybudget.New(int64(float64(memoryLimit) * bodyMemoryShare)), granted: map[*bodybudget.Waiter]chan struct{}{}}
}

// bodyRoom is the room that is held for the body of one request. Its zero value holds none.
type bodyRoom struct {
	bodies *bodies
	size   int64
}

// wait holds room for a body, and waits for it for a while. The error is a *bodyMemoryError, or that of ctx.
func (b *bodies) wait(ctx context.Context, size int64, rank routing.Rank) (bodyRoom, error) {
	b.mu.Lock()
	if !b.budget.Fits(size) {
		defer b.mu.Unlock()
		return bodyRoom{}, &bodyMemoryError{size: size, held: b.budget.Held()}
	}
	waiter, ok := b.budget.Hold(size, rank)
	if ok {
		b.mu.Unlock()
		return bodyRoom{bodies: b, size: size}, nil
	}
	granted := make(chan struct{})
	b.granted[waiter] = granted
	b.mu.Unlock()
	timer := time.NewTimer(maxBodyWait)
	defer timer.Stop()
	var err error
	select {
	case <-granted:
		return bodyRoom{bodies: b, size: size}, nil
	case <-timer.C:
		err = &bodyMemoryError{size: size, held: b.held()}
	case <-ctx.Done():
		err = ctx.Err()
	}
	if b.cancel(waiter) {
		return bodyRoom{}, err
	}
	return bodyRoom{bodies: b, size: size}, nil // granted at the same moment
}

// cancel reports whether a wait ended without room.
func (b *bodies) cancel(waiter *bodybudget.Waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, waits := b.granted[waiter]; !waits {
		return false
	}
	delete(b.granted, waiter)
	b.wake(b.budget.Cancel(waiter))
	return true
}

// tryHold holds room without a wait.
func (b *bodies) tryHold(size int64) (bodyRoom, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.budget.Grow(size) {
		return bodyRoom{}, false
	}
	return bodyRoom{bodies: b, size: size}, true
}

// wake is called with mu held.
func (b *bodies) wake(granted []*bodybudget.Waiter) {
	for _, waiter := range granted {
		close(b.granted[waiter])
		delete(b.granted, waiter)
	}
}

func (b *bodies) held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Held()
}

// grow holds more room, and reports whether there was any.
func (r *bodyRoom) grow(size int64) bool {
	more, ok := r.bodies.tryHold(size)
	r.size += more.size
	return ok
}

// release gives the room back.
func (r *bodyRoom) release() {
	if r.bodies == nil || r.size == 0 {
		return
	}
	r.bodies.mu.Lock()
	defer r.bodies.mu.Unlock()
	r.bodies.wake(r.bodies.budget.Release(r.size))
	r.size = 0
}

// HoldRelayed holds room for a request that a peer relays, and returns what gives it back. It returns
// false if there is none.
func (g *Gateway) HoldRelayed(size int64) (release func(), ok bool) {
	room, ok := g.bodies.tryHold(size)
	return room.release, ok
}

// BodyBytesHeld returns the bytes of the request bodies for which room is held.
func (g *Gateway) BodyBytesHeld() int64 { return g.bodies.held() }

// holdBody holds room for the body of a request, before any of it is read.
func (g *Gateway) holdBody(w http.ResponseWriter, r *http.Request, c *call) *errorResponse {
	size := r.ContentLength
	if size == 0 {
		return nil
	}
	if size < 0 {
		size = firstBodyPart
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	room, err := g.bodies.wait(ctx, size, c.decision.Rank)
	c.room = room
	if err != nil {
		return noBodyMemory(w, err)
	}
	return nil
}

// noBodyMemory returns the error response to a request for whose body there is no memory. The rest of the
// body is not waited for.
func noBodyMemory(w http.ResponseWriter, err error) *errorResponse {
	// If the deadline can't be set, the connection has ended.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	return &errorResponse{status: http.StatusServiceUnavailable, code: "no-body-memory", retryAfter: bodyRetryAfter, cause: err}
}

// readAll reads a body to its end. length is its length, negative if that is unknown: then room is
// held for more as it is read. limit is the most that is read, 0 for no limit. The error is a
// *bodyMemoryError or that of the reader.
func (r *bodyRoom) readAll(body io.Reader, length, limit int64) ([]byte, error) {
	if length >= 0 {
		data := make([]byte, length)
		_, err := io.ReadFull(body, data)
		return data, err
	}
	if limit > 0 {
		body = io.LimitReader(body, limit)
	}
	data := make([]byte, 0, firstBodyPart)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		more := int64(cap(data))
		if !r.grow(more) {
			return nil, &bodyMemoryError{size: 2 * more, held: r.bodies.held()}
		}
		data = append(make([]byte, 0, 2*len(data)), data...)
	}
}
