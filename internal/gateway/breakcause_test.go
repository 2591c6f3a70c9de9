package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/backend"
)

// TestCutsAreToldApart guards against a log that can't tell a path that was left from a
// server that broke off.
func TestCutsAreToldApart(t *testing.T) {
	timedOut := &backend.IncompleteResponseError{Cause: &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}}
	cases := []struct {
		err  error
		left bool
		want breakCause
	}{
		{nil, false, neverBroken},
		{io.ErrUnexpectedEOF, false, brokenByServer},
		{errors.Join(errUnresponsiveStage, net.ErrClosed), true, brokenByLeaving},
		{timedOut, false, brokenBySilence},
		{fmt.Errorf("%w: status 503", errNotExecuted), false, brokenByRejection},
		{errors.Join(errWrite, syscall.EPIPE), true, brokenByClient},
		{errUnsigned, false, brokenByResponse},
	}
	for _, c := range cases {
		assert.Equal(t, breakCauseOf(c.err, c.left), c.want, "%v", c.err)
	}
}
