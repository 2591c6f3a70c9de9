package http1

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// ResetError reports that a connection ended after a write to it had failed.
type ResetError struct{ Cause error } // the error of the write

func (e *ResetError) Error() string {
	return fmt.Sprintf("connection ended after a failed write: %v", e.Cause)
}

func (e *ResetError) Unwrap() error { return e.Cause }

// connection is a connection whose end is a *ResetError if a write has failed. The kernel reports a reset once:
// where a write has met it, the read that follows sees an ordinary end, with which an answer without a length
// would be whole.
type connection struct {
	net.Conn

	mu       sync.Mutex // held while a write goes on
	writeErr error      // of the first write that failed
}

// NewConnection returns a connection on which a request is written, and its answer read by ReadResponse. An end
// that a failed write makes doubtful is read as a *ResetError. While a write goes on, an end is not reported before
// that has ended too.
func NewConnection(conn net.Conn) net.Conn { return &connection{Conn: conn} }

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeErr != nil {
		err = &ResetError{Cause: c.writeErr}
	}
	return n, err
}
