package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"mulberryhead.org/mulberryhead/internal/clientbudget"
)

const (
	// bodyRetryAfter is sent if there was no memory for a body.
	bodyRetryAfter = time.Second
	// firstUnknownPart is the room for a body of unknown length before any of it was read, which doubles. A
	// body of a known length gets its room whole, once firstKnownPart has arrived.
	firstUnknownPart = 4 << 10
	firstKnownPart   = clientbudget.SmallSize
)

// bodyRoom is the memory that is held for one request and its responses: their bodies, long heads and long
// events.
type bodyRoom struct {
	account *clientbudget.Account
	own     bool          // the account is not that of a connection
	total   *atomic.Int64 // of all requests
	reads   *rate.Limiter // of all requests, see bodyReads
	size    atomic.Int64  // a stream may search for a peer while it goes on
	closed  atomic.Bool
}

// newBodyRoom returns the room of a request, of which none is held. It is that of the connection on which
// the request has come, if its context names one.
func (g *Gateway) newBodyRoom(r *http.Request) bodyRoom {
	if account := clientbudget.FromContext(r.Context()); account != nil {
		return bodyRoom{account: account, total: &g.bodyBytes, reads: g.bodyReads}
	}
	return g.newOwnRoom()
}

// newOwnRoom returns the room of a request that came another way than from a client.
func (g *Gateway) newOwnRoom() bodyRoom {
	return bodyRoom{account: g.Clients.Add(), own: true, total: &g.bodyBytes, reads: g.bodyReads}
}

// close gives all back. What is held later is given back at once.
func (r *bodyRoom) close() {
	r.closed.Store(true)
	r.release(r.size.Load())
	if r.own {
		r.account.Close()
	}
}

// errRequestEnded reports that memory was asked for after the end of the request.
var errRequestEnded = errors.New("the request has ended")

// hold holds more memory, and waits for it for a while. The error is a *clientbudget.ShortageError, or that
// of ctx.
func (r *bodyRoom) hold(ctx context.Context, c *call, size int64) error {
	if size == 0 {
		return nil
	}
	if err := r.account.Hold(ctx, size, c.decision.Rank); err != nil {
		return err
	}
	r.size.Add(size)
	r.total.Add(size)
	if r.closed.Load() {
		r.release(size)
		return errRequestEnded
	}
	return nil
}

// Hold implements backend.Memory. The memory is given back at the end of the request.
func (c *call) Hold(ctx context.Context, size int64) error { return c.room.hold(ctx, c, size) }

// release gives a part back.
func (r *bodyRoom) release(size int64) {
	if size == 0 {
		return
	}
	r.account.Release(size)
	r.size.Add(-size)
	r.total.Add(-size)
}

// HoldRelayed holds memory for a request that a peer relays, and returns what gives it back. It returns
// false if there is none.
func (g *Gateway) HoldRelayed(size int64) (release func(), ok bool) {
	account := g.Clients.Add()
	if !account.TryHold(size) {
		account.Close()
		return nil, false
	}
	return account.Close, true
}

// BodyBytesHeld returns the bytes of the clients' request bodies for which memory is held.
func (g *Gateway) BodyBytesHeld() int64 { return g.bodyBytes.Load() }

// noBodyMemory returns the error response to a request for which there is no memory, or whose client was too
// slow while there was little. The rest of the body is not waited for, and the connection ends.
func noBodyMemory(w http.ResponseWriter, err error) *errorResponse {
	// If the deadline can't be set, the connection has ended.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	w.Header().Set("Connection", "close")
	code := "no-body-memory"
	var shortage *clientbudget.ShortageError
	if errors.As(err, &shortage) && shortage.Evicted {
		code = "evicted"
	}
	return &errorResponse{status: http.StatusServiceUnavailable, code: code, retryAfter: bodyRetryAfter, cause: err}
}

// bodyParts tells in which parts a body is read: the room for the first one and, after a part of some size was
// read, for that and the next one. length is negative if it is unknown, limit the most that is read, 0 for no
// limit, and free the size up to which no memory is held.
type bodyParts struct{ length, limit, free int64 }

func (p bodyParts) first() int64 {
	if p.length >= 0 {
		return p.bounded(min(p.length, firstKnownPart))
	}
	return p.bounded(firstUnknownPart)
}

func (p bodyParts) next(size int64) int64 {
	if p.length >= 0 {
		return p.bounded(p.length)
	}
	return p.bounded(2 * size)
}

func (p bodyParts) bounded(size int64) int64 {
	if p.limit > 0 {
		return min(size, p.limit)
	}
	return size
}

// held returns how much memory is held for a size.
func (p bodyParts) held(size int64) int64 {
	if size <= p.free {
		return 0
	}
	return size
}

// ended reports whether no more than size is read.
func (p bodyParts) ended(size int64) bool {
	return size == p.length || p.limit > 0 && size >= p.limit
}

// readAll reads a body to its end, or as much as its parts allow. Memory for each part is held before it is
// read. The error is a *clientbudget.ShortageError, that of ctx or that of the reader.
func (c *call) readAll(ctx context.Context, body io.Reader, parts bodyParts) ([]byte, error) {
	size := parts.first()
	held := parts.held(size)
	if err := c.room.hold(ctx, c, held); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF) || parts.ended(int64(len(data))):
			return data, nil
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		size = parts.next(size)
		before := held
		held = parts.held(size)
		if err := c.room.hold(ctx, c, held); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, size), data...)
		c.room.release(before)
	}
}
