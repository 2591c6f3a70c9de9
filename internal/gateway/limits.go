package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// lineOverhead is the size of a header line without its name and value: ": " and CRLF.
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

// readBody reads a complete body of at most limit bytes (0 for no limit) before the
// deadline. A client that sends too slowly gets status 408: its request has not run.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *errorResponse) {
	if limit > 0 && r.ContentLength > limit {
		return nil, &errorResponse{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	body, err := readUntil(w, r, limit, deadline)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &errorResponse{status: http.StatusRequestTimeout, code: "body-too-slow", retryAfter: backendRetryAfter, cause: err}
	case err != nil:
		return nil, &errorResponse{status: http.StatusBadRequest, code: "body-broken", cause: err}
	case limit > 0 && int64(len(body)) > limit:
		return nil, &errorResponse{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	return body, nil
}

// readUntil reads up to limit+1 bytes, or everything if limit is 0. After a complete body
// it clears the connection's read deadline, because net/http keeps reading to detect
// that the client disconnects. After an error the deadline stays; otherwise net/http
// would wait for the rest of the body before it sends the response.
func readUntil(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = io.LimitReader(r.Body, limit+1)
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}
