package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ResetError reports that a connection ended after a write to it had failed, or after its peer had reset it.
type ResetError struct{ Cause error } // the error of the write, or the kernel's for the connection

func (e *ResetError) Error() string {
	return fmt.Sprintf("connection ended after a reset or a failed write: %v", e.Cause)
}

func (e *ResetError) Unwrap() error { return e.Cause }

// connection is a connection whose end is passed on only once the server's host has taken the whole request. The end
// of a connection ends an answer without a length, unless the connection is reset, and an end alone does not tell:
//
//   - The kernel reports a reset once: where a write has met it, the read that follows sees an ordinary end.
//   - If a server ends its side of the connection, and resets it with the request unread, reads report an ordinary end
//     before the reset, and behind it too.
//
// The kernel tells how much of the request the server's host has not acknowledged, and of a reset. A host that refuses
// to tell leaves the end as it is.
type connection struct {
	net.Conn

	mu       sync.Mutex // held while a write goes on
	writeErr error      // of the first write that failed
	resetErr error      // of the kernel, which reports it once
	sent     int64      // bytes that were written
	writing  bool       // more of a request is to be written
}

// NewConnection returns a connection on which a request is written, and its answer read by ReadResponse. An end of the
// connection waits while a write goes on, and until the server's host has taken what was written. It is read as a
// *ResetError or an *UnreadRequestError if it can't be trusted.
func NewConnection(conn net.Conn) net.Conn { return &connection{Conn: conn} }

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// setWriting says whether more of a request is to be written. Until it is called, each write writes a whole request.
func (c *connection) setWriting(writing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = writing
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if problem := c.awaitEnd(); problem != nil {
		err = problem
	}
	return n, err
}

// The pauses between two questions to the kernel double from the first to the last.
const (
	firstEndPause = time.Millisecond
	lastEndPause  = 16 * time.Millisecond
)

// awaitEnd waits until an end that was read can be passed on. The error says why it can't.
func (c *connection) awaitEnd() error {
	var wait endWait
	for pause := firstEndPause; ; pause = min(2*pause, lastEndPause) {
		state, err := c.requestState()
		if err != nil {
			return err
		}
		if decided, err := wait.decide(time.Now(), state); decided {
			return err
		}
		time.Sleep(pause)
	}
}

// requestState returns what is known of the request that was written last. The error is that of a connection that
// has been closed on this side.
func (c *connection) requestState() (requestState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kernel, err := askKernel(c.Conn)
	if err != nil {
		return requestState{}, err
	}
	if c.resetErr == nil {
		c.resetErr = kernel.resetErr
	}
	return requestState{
		known: kernel.known, writing: c.writing, sent: c.sent, unacknowledged: kernel.unacknowledged, err: errors.Join(c.writeErr, c.resetErr),
	}, nil
}
