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

const (
	sweepInterval = time.Second
	// finishInterval is the interval at which a stop closes the connections that have become unused.
	finishInterval = 10 * time.Millisecond
	// arrivalTime is how long a stop waits for the rest of a header that has begun to arrive.
	arrivalTime = 500 * time.Millisecond
)

// clientConnections keeps track of the connections of clients. It closes those that have been
// without a request for longer than the active configuration allows. These limits may change
// while a connection is open; the timeouts of http.Server can't.
type clientConnections struct {
	logger *zap.Logger

	mu     sync.Mutex
	idle   map[*clientConnection]idleState
	open   map[*clientConnection]bool
	limits deployment.Limits // as of the last sweep
}

// idleState describes a connection that has no request.
type idleState struct {
	since        time.Time
	noRequestYet bool // the connection has not carried a request
	// limit is the longest time that a configuration has allowed it since then.
	limit time.Duration
}

func newClientConnections(logger *zap.Logger) *clientConnections {
	return &clientConnections{logger: sampled(logger), idle: map[*clientConnection]idleState{}, open: map[*clientConnection]bool{}}
}

// onStateChange is the ConnState hook of a server that listens with a clientListener. A
// connection leaves StateNew or StateIdle once a complete header has been read from it.
func (c *clientConnections) onStateChange(connection net.Conn, state http.ConnState) {
	c.recordState(time.Now(), connection.(*clientConnection), state)
}

func (c *clientConnections) recordState(now time.Time, connection *clientConnection, state http.ConnState) {
	between := state == http.StateNew || state == http.StateIdle
	connection.setBetween(now, between)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[connection] = true
	delete(c.idle, connection)
	switch state {
	case http.StateNew, http.StateIdle:
		idle := idleState{since: now, noRequestYet: state == http.StateNew}
		idle.limit = idleLimit(idle, c.limits)
		c.idle[connection] = idle
	case http.StateClosed, http.StateHijacked:
		delete(c.open, connection)
		connection.account.Close()
	case http.StateActive:
	}
}

func (c *clientConnections) sweep(ctx context.Context, routingTable *routing.ActiveTable) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if table, ok := routingTable.Load(); ok {
				c.close(now, table.Version(), table.Limits())
			}
		}
	}
}

// close closes the connections that have been without a request for too long by the limits
// of a version of the configuration. A limit that has been lowered holds for connections that
// become idle later: clients keep to the one that they know.
func (c *clientConnections) close(now time.Time, version deployment.Version, limits deployment.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	begunBefore := now.Add(-headerLimit(limits))
	for connection, state := range c.idle {
		limit := idleLimit(state, limits)
		if limit == 0 {
			continue
		}
		state.limit = max(state.limit, limit)
		c.idle[connection] = state
		idle := now.Sub(state.since)
		if idle <= state.limit || !connection.closeBetween(begunBefore) {
			continue
		}
		delete(c.idle, connection)
		c.logger.Info("idle connection closed", zap.Stringer("client", connection.RemoteAddr()), zap.Bool("new", state.noRequestYet),
			zap.Duration("idle-ms", idle), zap.Duration("limit-ms", state.limit), zap.Int64("configuration", int64(version)))
	}
}

// headerLimit returns how long a client may take to complete a header.
func headerLimit(limits deployment.Limits) time.Duration {
	if limits.HeaderTimeout > 0 {
		return limits.HeaderTimeout
	}
	return headerTimeout
}

// finish closes each connection once nothing of a next request was read from it, until none is open, at
// most until ctx ends. Unlike http.Server.Shutdown it drops no request that was read whole.
func (c *clientConnections) finish(ctx context.Context) error {
	ticker := time.NewTicker(finishInterval)
	defer ticker.Stop()
	for c.closeUnused(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// closeUnused closes the connections from which nothing of a next request was read, or no whole header
// for arrivalTime. It returns how many were open.
func (c *clientConnections) closeUnused(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for connection := range c.open {
		connection.closeBetween(now.Add(-arrivalTime))
	}
	return len(c.open)
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
