package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// lineOverhead is what a header line takes beside its name and value: ": " and the
// line's end.
const lineOverhead = 4 // bytes

// headerSize returns the size of a request's header lines in bytes.
func headerSize(r *http.Request) int {
	size := len("Host") + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return size
}

// readBody reads a whole body of at most limit bytes, 0 for any, until a deadline. A
// client that sends too slowly is told that its request has not run.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *refusal) {
	if limit > 0 && r.ContentLength > limit {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	body, err := readUntil(w, r, limit, deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{status: http.StatusRequestTimeout, code: "body-too-slow", after: backendPause, cause: err}
	case err != nil:
		return nil, &refusal{status: http.StatusBadRequest, code: "body-broken", cause: err}
	case limit > 0 && int64(len(body)) > limit:
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	return body, nil
}

// readUntil reads one byte more than limit, if there is one. The connection's own
// deadline is taken back after a whole body, as the server reads on to see the client
// leave. It stays after a failure, else the server would wait for the rest of the body
// before it answers.
func readUntil(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = io.LimitReader(r.Body, limit+1)
	}
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	return body, connection.SetReadDeadline(time.Time{})
}
