package router

import (
	"errors"
	"net"
	"sync"
	"time"
)

// clientListener accepts connections of clients that can be closed safely between requests.
type clientListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l clientListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newClientConnection(connection), nil
}

// clientConnection is a connection of a client. net/http reports that a request has begun
// only once it has parsed the header. Until then the connection counts as idle to net/http,
// which may close it, though the request has been read and will be forwarded. A
// clientConnection is not closed while it is between two requests and has read a part of the
// next one: a close that races with a request leaves the request unread, or waits for its
// response.
type clientConnection struct {
	net.Conn

	mu sync.Mutex
	// between is set while net/http counts the connection as new or idle.
	between bool
	// begunAt is when the first part of the next request was read, zero before that.
	begunAt time.Time
	closed  bool
}

func newClientConnection(connection net.Conn) *clientConnection {
	return &clientConnection{Conn: connection, between: true}
}

// Read implements net.Conn. Once the connection was closed it returns net.ErrClosed, also if
// the data arrived before.
func (c *clientConnection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return 0, net.ErrClosed
	case err != nil:
		c.begunAt = time.Time{} // no request follows
	case n > 0 && c.between && c.begunAt.IsZero():
		c.begunAt = time.Now()
	}
	return n, err
}

// Close implements net.Conn. It does nothing while the next request is being read. net/http
// then closes the connection after its response: it calls Close on idle connections only
// once it keeps none alive.
func (c *clientConnection) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.between && !c.begunAt.IsZero() && !c.closed {
		return nil
	}
	return c.close()
}

// CloseWrite ends the data to the client, so that it can read the last response to its end.
// net/http calls it.
func (c *clientConnection) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

func (c *clientConnection) close() error {
	c.closed = true
	return c.Conn.Close()
}

// closeBetween closes the connection between two requests. It reports whether it did, which it
// does not if the next request began to arrive after a time.
func (c *clientConnection) closeBetween(after time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.between || c.begunAt.After(after) {
		return false
	}
	// The server's goroutine then fails to read and reports StateClosed.
	return c.close() == nil
}

// setBetween records that a request has begun or ended.
func (c *clientConnection) setBetween(between bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.between = between
	c.begunAt = time.Time{}
}
