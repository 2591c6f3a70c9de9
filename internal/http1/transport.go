package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that uses transport, which it changes, and checks answers as ReadResponse does. It is
// for connections without TLS. Heads that are longer than usual ones take of memory until the body is closed.
// Errors may wrap a *MalformedError, ErrHeadTooLarge, a *NoMemoryError, a *ResetError or an *UnreadRequestError. A
// redirect is an answer like others: it is not followed, which would carry a call out twice, or elsewhere.
func NewClient(transport *http.Transport, memory *Memory) *http.Client {
	return &http.Client{
		Transport:     newTransport(transport, memory),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// checkedTransport is an http.Transport that checks answers. It is safe for concurrent use.
type checkedTransport struct {
	transport *http.Transport
}

func newTransport(transport *http.Transport, memory *Memory) *checkedTransport {
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		request := &connection{Conn: conn}
		return &checkedConn{Conn: request, request: request, memory: memory}, nil
	}
	transport.MaxResponseHeaderBytes = MaxHeadBytes
	return &checkedTransport{transport: transport}
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(got httptrace.GotConnInfo) {
			conn, _ := got.Conn.(*checkedConn)
			conn.expectAnswer()
			connection.Store(conn)
		},
		WroteRequest: func(wrote httptrace.WroteRequestInfo) {
			if wrote.Err == nil {
				connection.Load().request.setWriting(false)
			}
		},
	}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, closed: connection.Load().release}
	return response, nil
}

// DialUpgrade returns a dial function for connections that begin with a request for another protocol. The
// answer to it is checked as that to a client's request, but takes of memory until the connection is closed.
func DialUpgrade(dial DialFunc, memory *Memory) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn, memory: memory, heads: headChecker{upgrades: true}}, nil
	}
}

// checkedConn checks the heads of the answers that come on a connection, one for each request.
type checkedConn struct {
	net.Conn
	request *connection // the same connection, nil if it is for another protocol
	memory  *Memory

	mu    sync.Mutex
	heads headChecker
	held  int64 // bytes, for long heads
}

// expectAnswer begins the next answer. It is called before its request is written.
func (c *checkedConn) expectAnswer() {
	c.release()
	c.request.setWriting(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads = headChecker{upgrades: c.heads.upgrades}
}

func (c *checkedConn) Read(p []byte) (int, error) {
	if err := c.problem(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heads.complete {
		return n, err
	}
	checked, problem := c.heads.check(p[:n])
	if problem == nil && c.heads.isLong() && c.held == 0 {
		c.held, problem = c.memory.tryHold(LongHeadMemory)
		c.heads.problem = problem
	}
	if problem != nil {
		return checked, problem
	}
	return n, err
}

// Close implements net.Conn.
func (c *checkedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// release gives back what is held for long heads.
func (c *checkedConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.total.Release(c.held)
	c.held = 0
}

func (c *checkedConn) problem() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.problem
}
