// Package http1 reads answers of HTTP/1.1 that come from servers which may be faulty. net/http parses them, but
// passes on a status that is none, and names of fields with blanks, which also hide where a body ends. Here an
// answer is checked by RFC 9112 as its bytes arrive, before net/http parses it.
//
// Usage, on a connection of its own for a request:
//
//	connection := http1.NewConnection(conn)
//	// write the request to connection, also if that fails:
//	response, err := http1.ReadResponse(connection, http.MethodGet, nil) // a *MalformedError if it is no answer
//
// and for clients that keep connections:
//
//	memory := http1.NewMemory(8 << 20) // of all answers that are read at once
//	client := http1.NewClient(&http.Transport{MaxIdleConnsPerHost: 1}, memory)
//	response, err := client.Do(request)
//	body, release, err := memory.ReadBody(response, 1<<20)
//	defer release()
package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
)

// readBufferSize is the size of the buffer of a connection.
const readBufferSize = 4 << 10 // bytes

// headReader reads from a connection, and checks the heads of one answer on the way.
type headReader struct {
	source io.Reader
	heads  headChecker
	hold   func() error // holds memory for long heads; nil once it did, or if none need be held
}

func (r *headReader) Read(p []byte) (int, error) {
	if r.heads.problem != nil {
		return 0, r.heads.problem
	}
	n, err := r.source.Read(p)
	checked, problem := r.heads.check(p[:n])
	if problem == nil && r.heads.isLong() && r.hold != nil {
		problem = r.hold()
		r.hold, r.heads.problem = nil, problem
	}
	if problem != nil {
		return checked, problem
	}
	return n, err
}

// ReadResponse reads the head of the first response that is not informational (1xx) from a connection on which
// one request was written, see NewConnection. The body ends with an error other than io.EOF unless it is whole. hold is called once
// if the heads are longer than usual ones, and holds LongHeadMemory or returns an error; it may be nil. The error
// may be a *MalformedError, ErrHeadTooLarge or that of hold.
func ReadResponse(connection io.Reader, method string, hold func() error) (*http.Response, error) {
	reader := bufio.NewReaderSize(&headReader{source: connection, hold: hold}, readBufferSize)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			response.Body = &checkedBody{ReadCloser: response.Body, response: response}
			return response, nil
		}
	}
}

// checkedBody is the body of a response, of which the trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
	closed   func() // called by Close, unless it is nil
}

// Close implements io.Closer.
func (b *checkedBody) Close() error {
	if b.closed != nil {
		b.closed()
	}
	return b.ReadCloser.Close()
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if problem := checkTrailer(b.response.Trailer); problem != nil {
			return n, problem
		}
	}
	return n, err
}

// checkTrailer checks the names of the fields of a trailer; net/http has checked the values.
func checkTrailer(trailer http.Header) error {
	for name := range trailer {
		if !isToken([]byte(name)) {
			return malformed("not the name of a field of the trailer", []byte(name))
		}
	}
	return nil
}
