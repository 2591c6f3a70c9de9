package router

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundedListener accepts connections up to a number that are open at a time.
type boundedListener struct {
	net.Listener
	most int64 // 0 for no bound
	open *atomic.Int64
}

func newBoundedListener(listener net.Listener, most int) boundedListener {
	return boundedListener{Listener: listener, most: int64(most), open: &atomic.Int64{}}
}

// Accept implements net.Listener. It closes the connections that are too many.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most || l.most == 0 {
			return &countedConnection{Conn: connection, closed: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = connection.Close() // nothing was read from it
	}
}

// countedConnection is a connection that counts until it is closed.
type countedConnection struct {
	net.Conn
	closed func()
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.closed()
	return c.Conn.Close()
}

// CloseWrite ends the data to the caller, so that it can read the last response to its end. net/http calls it.
func (c *countedConnection) CloseWrite() error { return closeWrite(c.Conn) }
