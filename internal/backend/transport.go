// Package backend sends requests to backend servers. It keeps the list of backend
// servers with what this instance has observed of each, and chooses a server of a plain
// service for a request.
//
// Usage: pick a backend server, send the request, and report the result:
//
//	inFlight, ok := fleet.Pick(now, service, zone, tried)
//	response, err := transport.Send(ctx, inFlight.Backend.Address, request)
//	...
//	response.Close()
//	inFlight.Done(now, backend.Succeeded)
//
// For a model service, pipeline.Find chooses a path from the result of Stages, and Begin
// takes the place of Pick.
//
// Each request uses a connection of its own. A reused connection may have failed
// without notice, or deliver a late response to an earlier request. At the request rate
// of one instance, a new connection costs less than handling these cases.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/platform"
)

const connectTimeout = 600 * time.Millisecond

// Request is a request in the form in which it is sent to a backend server.
type Request struct {
	Method string
	URI    string // path and query as received from the client
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// Memory is for a long header of the response. It may be nil, which holds none.
	Memory Memory
}

// Memory holds memory, which its owner gives back after the response was closed. It is safe for concurrent use.
type Memory interface {
	// Hold waits for memory of a size in bytes, at most until ctx ends. The error says why there is none.
	Hold(ctx context.Context, size int64) error
}

// NotSentError reports that the connection to a backend server failed, so that no part
// of the request was sent.
type NotSentError struct {
	Address deployment.Address
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("backend server %s: connect: %v", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports that a request was sent, at least in part, and no
// valid response was received. The backend server may have executed the request.
type IncompleteResponseError struct {
	Address deployment.Address
	Cause   error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("backend server %s: incomplete response: %v", e.Address, e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

var errWrongRequestID = errors.New("response carries the ID of another request")

// Response is the response of a backend server, with its body not yet read. Close must
// be called.
type Response struct {
	*http.Response
	connection net.Conn
	stop       func() bool
}

// Close closes the connection.
func (r *Response) Close() {
	r.stop()
	// The rest of the body need not be read: the connection is not reused.
	_ = r.connection.Close()
}

// Transport sends requests to backend servers. It is safe for concurrent use.
type Transport struct {
	dial platform.DialFunc
}

// NewTransport returns a Transport. It opens each connection with dial and a short timeout.
func NewTransport(dial platform.DialFunc) *Transport {
	return &Transport{dial: dial.Within(connectTimeout)}
}

// Connection is an open connection to a backend server, for one request. It must be used or
// closed.
type Connection struct {
	address    deployment.Address
	connection net.Conn
}

// Connect opens a connection to a backend server. The error is a *NotSentError.
func (t *Transport) Connect(ctx context.Context, to deployment.Address) (*Connection, error) {
	connection, err := t.dial(ctx, "tcp4", string(to))
	if err != nil {
		return nil, &NotSentError{Address: to, Cause: err}
	}
	return &Connection{address: to, connection: connection}, nil
}

// Close closes a connection that was not used.
func (c *Connection) Close() {
	_ = c.connection.Close() // no data was sent
}

// Send sends a request and reads the header of the response. When ctx is done, the
// connection is closed. The error is an *IncompleteResponseError.
func (c *Connection) Send(ctx context.Context, request Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.connection.Close() })
	response, err := exchange(ctx, c.connection, request)
	if err != nil {
		stop()
		_ = c.connection.Close()
		return nil, &IncompleteResponseError{Address: c.address, Cause: err}
	}
	response.stop = stop
	return response, nil
}

// Send opens a connection, sends a request and reads the header of the response. When ctx is
// done, the connection is closed. Errors are a *NotSentError or an *IncompleteResponseError.
func (t *Transport) Send(ctx context.Context, to deployment.Address, request Request) (*Response, error) {
	connection, err := t.Connect(ctx, to)
	if err != nil {
		return nil, err
	}
	return connection.Send(ctx, request)
}

// Refused reports whether the machine of a backend server refuses connections to it, which
// means that the server's process has ended. Without any response it reports false.
func (t *Transport) Refused(ctx context.Context, address deployment.Address) bool {
	connection, err := t.dial(ctx, "tcp4", string(address))
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = connection.Close() // no data was sent
	return false
}

func exchange(ctx context.Context, conn net.Conn, request Request) (*Response, error) {
	connection := http1.NewConnection(conn)
	writeErr := write(connection, request)
	// The server may have responded although the write failed. Then the end of the connection ends no body.
	hold := func() error {
		if request.Memory == nil {
			return nil
		}
		return request.Memory.Hold(ctx, http1.LongHeadMemory)
	}
	response, err := http1.ReadResponse(connection, request.Method, hold) //nolint:bodyclose // Response.Close closes the connection
	if err != nil {
		return nil, errors.Join(writeErr, err)
	}
	if id := response.Header.Get(platform.HeaderRequestID); id != "" && id != request.ID {
		return nil, errWrongRequestID
	}
	return &Response{Response: response, connection: connection}, nil
}

// maxCopiedBody is the size up to which a body is copied behind the header, so that both are sent at once.
const maxCopiedBody = 16 << 10 // bytes

func write(connection net.Conn, request Request) error {
	if len(request.Body) <= maxCopiedBody {
		_, err := connection.Write(append(encodeHeader(request), request.Body...))
		return err
	}
	if _, err := connection.Write(encodeHeader(request)); err != nil {
		return err
	}
	_, err := connection.Write(request.Body)
	return err
}

func encodeHeader(request Request) []byte {
	var b bytes.Buffer
	b.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	// Writing to a bytes.Buffer does not fail.
	_ = request.Header.WriteSubset(&b, ownedHeaders)
	b.WriteString("\r\n")
	return b.Bytes()
}

// ownedHeaders are the headers that encodeHeader writes itself.
var ownedHeaders = map[string]bool{"Host": true, "Content-Length": true}
