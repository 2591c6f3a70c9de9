package router

import (
	"errors"
	"net"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/internal/clientbudget"
)

// clientListener accepts connections of clients that can be closed safely between requests, as many as there
// is room for.
type clientListener struct {
	net.Listener
	clients *clientbudget.Pool
	// maxHeaderBytes returns the most bytes of a header, with its request line, that are read.
	maxHeaderBytes func() int
}

// Accept implements net.Listener. It closes the connections for which there is no room.
func (l clientListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client := newClientConnection(connection)
		client.header.maxBytes = l.maxHeaderBytes
		if account, ok := l.clients.Connect(time.Now(), client.evict); ok {
			client.account = account
			return client, nil
		}
		_ = connection.Close() // nothing was read from it
	}
}

// clientConnection is a connection of a client. net/http reports that a request has begun
// only once it has parsed the header. Until then the connection counts as idle to net/http,
// which may close it, though the request has been read and will be forwarded. A
// clientConnection is not closed while it is between two requests and has read a part of the
// next one: a close that races with a request leaves the request unread, or waits for its
// response.
//
// It passes a header on to net/http, which parses it, only once it has read the whole of it and there is
// memory for it.
type clientConnection struct {
	net.Conn
	account *clientbudget.Account
	header  requestHeader // of the goroutine that reads

	mu sync.Mutex
	// between is set while net/http counts the connection as new or idle.
	between bool
	// begunAt is when the first part of the next request was read, zero before that.
	begunAt time.Time
	closed  bool
	// evicted is set once the connection has to end as memory or descriptors are short.
	evicted bool
	// writing is set while something is written.
	writing bool
}

const (
	// writeTimeout is how long a client may take to read writePart bytes.
	writeTimeout = 30 * time.Second
	writePart    = 64 << 10
)

// newClientConnection returns a connection that is bounded by nothing.
func newClientConnection(connection net.Conn) *clientConnection {
	return &clientConnection{
		Conn: connection, between: true, account: clientbudget.NewPool(clientbudget.Limits{}).Add(),
		header: requestHeader{maxBytes: func() int { return maxHeaderBytes }},
	}
}

// Read implements net.Conn. Once the connection was closed it returns net.ErrClosed, also if
// the data arrived before.
func (c *clientConnection) Read(data []byte) (int, error) {
	if n, err := c.header.take(data); n > 0 || err != nil {
		return n, err
	}
	if c.isBetween() {
		return c.readHeader(data)
	}
	n, err := c.read(data)
	c.header.skip(data[:n])
	return n, err
}

// read reads what has arrived.
func (c *clientConnection) read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	now := time.Now()
	if begins := c.recordRead(now, n, err); begins {
		c.account.Expect(now)
	}
	c.account.Received(now, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	return n, err
}

// recordRead records the result of a read, and reports whether a request begins with it.
func (c *clientConnection) recordRead(now time.Time, n int, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil:
		c.begunAt = time.Time{} // no request follows
	case n > 0 && c.between && c.begunAt.IsZero():
		c.begunAt = now
		return true
	}
	return false
}

func (c *clientConnection) isBetween() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.between
}

// SetReadDeadline implements net.Conn. The deadline of a connection that has to end stays.
func (c *clientConnection) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// evict ends the connection, as memory or descriptors are short. A request that was begun is refused by
// whoever reads it.
func (c *clientConnection) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	if c.between && c.begunAt.IsZero() {
		_ = c.close() // it is of no more use in any case
		return
	}
	// Deadlines can't be set only if the connection has ended.
	_ = c.Conn.SetReadDeadline(time.Now())
	if c.writing {
		_ = c.SetWriteDeadline(time.Now())
	}
}

// Write implements net.Conn. It fails once the client has not read a part for writeTimeout or, if the
// connection has to end, for lingerTime.
func (c *clientConnection) Write(data []byte) (int, error) {
	written := 0
	for {
		part := data[written:min(len(data), written+writePart)]
		if err := c.beginWrite(time.Now()); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		c.endWrite()
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (c *clientConnection) beginWrite(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	if c.evicted {
		return c.SetWriteDeadline(now.Add(lingerTime))
	}
	return c.SetWriteDeadline(now.Add(writeTimeout))
}

func (c *clientConnection) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
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
func (c *clientConnection) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(connection net.Conn) error {
	half, ok := connection.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

func (c *clientConnection) close() error {
	c.closed = true
	c.account.Close()
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

// setBetween records that a request has begun, or that the connection is new or a request has ended.
func (c *clientConnection) setBetween(now time.Time, between bool) {
	c.mu.Lock()
	c.between = between
	c.begunAt = time.Time{}
	c.mu.Unlock()
	if between {
		c.account.Release(c.header.reset())
		c.account.Expect(now)
	}
}
