package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/routing"
)

const sweepInterval = time.Second

// idleConnections closes client connections that have been without a request for longer
// than the active configuration allows. These limits may change while a connection is
// open; the timeouts of http.Server can't.
type idleConnections struct {
	logger *zap.Logger

	mu     sync.Mutex
	states map[net.Conn]idleState
}

// idleState describes a connection that has no request.
type idleState struct {
	since        time.Time
	noRequestYet bool // the connection has not carried a request
}

func newIdleConnections(logger *zap.Logger) *idleConnections {
	return &idleConnections{logger: logger, states: map[net.Conn]idleState{}}
}

// onStateChange is the ConnState hook of the server. A connection leaves StateNew or
// StateIdle once a complete header has been read from it.
func (i *idleConnections) onStateChange(connection net.Conn, state http.ConnState) {
	i.recordState(time.Now(), connection, state)
}

func (i *idleConnections) recordState(now time.Time, connection net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.states[connection] = idleState{since: now, noRequestYet: state == http.StateNew}
	default:
		delete(i.states, connection)
	}
}

func (i *idleConnections) sweep(ctx context.Context, routingTable *routing.ActiveTable) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if table, ok := routingTable.Load(); ok {
				i.close(now, table.Version(), table.Limits())
			}
		}
	}
}

// close closes the connections that have been without a request for too long by the limits
// of a version of the configuration.
func (i *idleConnections) close(now time.Time, version deployment.Version, limits deployment.Limits) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for connection, state := range i.states {
		limit := idleLimit(state, limits)
		if limit > 0 && now.Sub(state.since) > limit {
			delete(i.states, connection)
			_ = connection.Close() // the server's goroutine then fails to read and reports StateClosed
			i.logger.Info("idle connection closed", zap.Stringer("client", connection.RemoteAddr()), zap.Bool("new", state.noRequestYet),
				zap.Duration("idle-ms", now.Sub(state.since)), zap.Duration("limit-ms", limit), zap.Int64("configuration", int64(version)))
		}
	}
}

// idleLimit returns how long a connection may go without a complete header; 0 means no
// limit. A client may begin a header at the very end of the idle timeout and then has
// the header timeout to complete it.
func idleLimit(state idleState, limits deployment.Limits) time.Duration {
	switch {
	case state.noRequestYet:
		return limits.HeaderTimeout
	case limits.IdleTimeout > 0:
		return limits.IdleTimeout + limits.HeaderTimeout
	}
	return 0
}
