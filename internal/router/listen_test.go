package router

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// TestAddressInUseIsWaitedFor guards against a process that ends, again and again, as one of its ports
// is in use for a while when it starts.
func TestAddressInUseIsWaitedFor(t *testing.T) {
	address := fmt.Sprintf("127.0.0.1:%d", freePort(t))
	taken, err := net.Listen("tcp4", address)
	assert.NilError(t, err)
	r := &Router{logger: zap.NewNop()}
	time.AfterFunc(3*listenRetry, func() { assert.Check(t, taken.Close()) })
	listener, err := r.listen(context.Background(), address)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()

	stopped, stop := context.WithCancel(context.Background())
	stop()
	_, err = r.listen(stopped, address)
	assert.Assert(t, errors.Is(err, syscall.EADDRINUSE), "%v", err)
}
