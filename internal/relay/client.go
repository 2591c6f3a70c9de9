package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
)

// SecondHopError reports an attempt to relay a request that another instance has relayed
// to this one.
type SecondHopError struct{ RequestID string }

func (e *SecondHopError) Error() string {
	return fmt.Sprintf("request %s was relayed before", e.RequestID)
}

// NoKeyError reports that no key of a peer is known, so that it can't be called.
type NoKeyError struct{ Peer deployment.InstanceID }

func (e *NoKeyError) Error() string { return fmt.Sprintf("no key of instance %s is known", e.Peer) }

var errUndelimited = errors.New("response of the peer has no marked end")

// Response is a backend server's response that a peer returned. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body ends with an error other than io.EOF if the response has broken off.
	Body  io.Reader
	close func()
}

// Close closes the connection, which cancels the request if it is not complete.
func (r *Response) Close() { r.close() }

// Client relays requests to peers. It is safe for concurrent use.
type Client struct {
	transport *backend.Transport
}

// NewClient returns a Client that opens connections with a transport.
func NewClient(transport *backend.Transport) *Client { return &Client{transport: transport} }

// Send relays a request to a peer and reads the header of the response, for which memory is held if it is long;
// memory may be nil. When ctx ends, the
// connection is closed, which cancels the request. A ctx that came from a Handler gives
// NotRun: a request is relayed only once.
func (c *Client) Send(ctx context.Context, to Peer, request Request, memory backend.Memory) Outcome {
	if wasRelayed(ctx) {
		return notSent(&SecondHopError{RequestID: request.ID})
	}
	if to.Key.IsZero() {
		return notSent(&NoKeyError{Peer: to.ID})
	}
	data, err := Encode(request)
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return NotRun{Reason: ReasonTooLarge, Cause: err}
	case err != nil:
		return NotRun{Reason: ReasonInvalid, Cause: err}
	}
	sent := hop(to, &request, data)
	sent.Memory = memory
	response, err := c.transport.Send(ctx, to.Address, sent)
	if err != nil {
		return failed(err)
	}
	return received(response)
}

func notSent(cause error) Outcome { return NotRun{Reason: ReasonNotSent, Cause: cause} }

// failed returns the outcome after no response was received.
func failed(err error) Outcome {
	var unsent *backend.NotSentError
	if errors.As(err, &unsent) {
		return notSent(err)
	}
	return Unknown{Cause: err}
}

// hop returns the request between the instances.
func hop(to Peer, request *Request, data []byte) backend.Request {
	header := http.Header{}
	header.Set(headerKey, to.Key.header())
	header.Set(headerHops, firstHop)
	header.Set("Content-Type", "application/cbor")
	return backend.Request{
		Method: hopMethod(request), URI: Path, Host: string(to.Address), ID: request.ID, Header: header, Body: data,
	}
}

// hopMethod returns the method between the instances. It is HEAD where the response has no
// body in spite of its header, so that both ends take it as complete.
func hopMethod(request *Request) string {
	if request.Method == http.MethodHead {
		return http.MethodHead
	}
	return http.MethodPost
}

// received returns the outcome of a response whose header was read.
func received(response *backend.Response) Outcome {
	outcome := parseOutcome(response.Header)
	answered, ok := outcome.(Answered)
	if !ok {
		response.Close()
		return outcome
	}
	if !delimited(response) {
		response.Close()
		return Unknown{Ran: answered.Ran, Cause: errUndelimited}
	}
	removeRelayHeaders(response.Header)
	answered.Response = &Response{
		Status: response.StatusCode, Header: response.Header, Body: response.Body, close: response.Close,
	}
	return answered
}

// delimited reports whether the end of a response is marked, so that it differs from a
// connection that closes early.
func delimited(response *backend.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
