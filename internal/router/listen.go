package router

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// listenPatience is how long an address may be in use when this instance starts: by the process
	// before it, or by an outgoing connection that was given the port, for which the system keeps it for a
	// minute after its end (TIME-WAIT). listenRetry is the interval of the attempts meanwhile.
	listenPatience = 75 * time.Second
	listenRetry    = 100 * time.Millisecond
)

// listen listens on an address. It waits while that is in use, for up to listenPatience or until ctx ends.
func (r *Router) listen(ctx context.Context, address string) (net.Listener, error) {
	waiting := false
	for started := time.Now(); ; sleep(ctx, listenRetry) {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil || time.Since(started) >= listenPatience {
			return listener, err
		}
		if !waiting {
			waiting = true
			r.logger.Warn("waiting for an address that is in use", zap.String("address", address), zap.Duration("at-most-ms", listenPatience))
		}
	}
}
