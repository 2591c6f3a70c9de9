package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const sweepEvery = time.Second

// idleConnections closes client connections that have been without a request for
// longer than the configuration in force allows. The limits may change while they
// are open, which the server's own timeouts do not allow.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]quiet
}

// quiet is a connection without a request.
type quiet struct {
	at    time.Time
	fresh bool // it has had no request yet
}

func newIdleConnections() *idleConnections {
	return &idleConnections{since: map[net.Conn]quiet{}}
}

// note is called when a connection changes its state. A connection leaves the state
// that it was in when it has read a whole header.
func (i *idleConnections) note(connection net.Conn, state http.ConnState) {
	i.noteAt(time.Now(), connection, state)
}

func (i *idleConnections) noteAt(now time.Time, connection net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.since[connection] = quiet{at: now, fresh: state == http.StateNew}
	default:
		delete(i.since, connection)
	}
}

func (i *idleConnections) sweep(ctx context.Context, current *routing.ActiveTable) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if table, ok := current.Load(); ok {
				i.close(now, table.Limits())
			}
		}
	}
}

// close closes what has been without a request for too long.
func (i *idleConnections) close(now time.Time, limits deployment.Limits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for connection, quiet := range i.since {
		allowed := allowedQuiet(quiet, limits)
		if allowed > 0 && now.Sub(quiet.at) > allowed {
			delete(i.since, connection)
			_ = connection.Close() // its goroutine sees the end and reports the state
		}
	}
}

// allowedQuiet is how long a connection may be without a whole header. 0 stands for no
// limit. A client may begin a header at the very end of the idle time, and then has
// the time for a header too.
func allowedQuiet(q quiet, limits deployment.Limits) time.Duration {
	switch {
	case q.fresh:
		return limits.HeaderTimeout
	case limits.IdleTimeout > 0:
		return limits.IdleTimeout + limits.HeaderTimeout
	}
	return 0
}
