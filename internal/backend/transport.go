// Package backend speaks to backend servers: it keeps the list of them with what
// this instance has seen, and sends single requests.
//
// Usage: pick a backend server, send, and end the work:
//
//	work, ok := fleet.Pick(now, service, zone, tried)
//	answer, err := transport.Send(ctx, work.Backend, request)
//	work.Done(now, backend.Succeeded)
//
// Every request has a connection of its own. A kept connection may be dead
// without a sign, or carry a late answer to an earlier request; at the rate of
// one instance, a new connection costs less than telling these cases apart.
package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	connectTimeout = 600 * time.Millisecond
	readBufferSize = 4 << 10 // bytes
)

// Request is a request as it is sent to a backend server.
type Request struct {
	Method string
	URI    string // path and query as the client wrote them
	Host   string
	ID     string
	Header http.Header
	Body   []byte
}

// NotSentError says that nothing of a request reached a backend server.
type NotSentError struct {
	Address deployment.Address
	Cause   error
}

func (e *NotSentError) Error() string {
	return fmt.Sprintf("backend server %s: connect: %v", e.Address, e.Cause)
}

func (e *NotSentError) Unwrap() error { return e.Cause }

// IncompleteResponseError says that a request was sent, at least in part, and has no whole
// answer. It may have run.
type IncompleteResponseError struct {
	Address deployment.Address
	Cause   error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("backend server %s: no whole answer: %v", e.Address, e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

var errForeignAnswer = errors.New("the answer belongs to another request")

// Response is the answer of a backend server. Close must be called.
type Response struct {
	*http.Response
	connection net.Conn
	stop       func() bool
}

// Close ends the exchange and its connection.
func (a *Response) Close() {
	a.stop()
	// The body is not read to its end: the connection serves no other request.
	_ = a.connection.Close()
}

// Transport sends requests to backend servers.
type Transport struct {
	dialer *net.Dialer
}

// NewTransport returns an exchanger.
func NewTransport() *Transport {
	return &Transport{dialer: platform.Dialer(connectTimeout)}
}

// Send sends a request and reads the head of the answer. It ends early when ctx
// does. Errors are a *NotSentError or an *IncompleteResponseError.
func (x *Transport) Send(ctx context.Context, to deployment.Address, request Request) (*Response, error) {
	connection, err := x.dialer.DialContext(ctx, "tcp4", string(to))
	if err != nil {
		return nil, &NotSentError{Address: to, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	answer, err := exchange(connection, request)
	if err != nil {
		stop()
		_ = connection.Close()
		return nil, &IncompleteResponseError{Address: to, Cause: err}
	}
	answer.stop = stop
	return answer, nil
}

// Reachable tells whether a backend server accepts connections.
func (x *Transport) Reachable(ctx context.Context, address deployment.Address) bool {
	connection, err := x.dialer.DialContext(ctx, "tcp4", string(address))
	if err != nil {
		return false
	}
	_ = connection.Close() // nothing was sent
	return true
}

func exchange(connection net.Conn, request Request) (*Response, error) {
	_, writeErr := connection.Write(encode(request))
	// An answer may be there although not all could be written.
	reader := bufio.NewReaderSize(connection, readBufferSize)
	response, err := readFinal(reader, request.Method) //nolint:bodyclose // the answer's Close ends the connection
	if err != nil {
		return nil, errors.Join(writeErr, err)
	}
	if id := response.Header.Get(platform.HeaderRequestID); id != "" && id != request.ID {
		return nil, errForeignAnswer
	}
	return &Response{Response: response, connection: connection}, nil
}

// readFinal reads the head of the first answer that is not informational.
func readFinal(reader *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func encode(request Request) []byte {
	var b bytes.Buffer
	b.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	// Writing to a buffer does not fail.
	_ = request.Header.WriteSubset(&b, ownedHeaders)
	b.WriteString("\r\n")
	b.Write(request.Body)
	return b.Bytes()
}

// ownedHeaders are written by encode itself.
var ownedHeaders = map[string]bool{"Host": true, "Content-Length": true}
