package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"mulberryhead.org/mulberryhead/internal/clientbudget"
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
// deadline, into memory that is held for it. A client that sends too slowly gets status 408, or 503 while
// memory is short: its request has not run.
func (c *call) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *errorResponse) {
	body, err := c.readUntil(w, r, limit)
	if !c.room.account.Accept() {
		err = &clientbudget.ShortageError{Evicted: true, Held: c.room.size.Load()}
	}
	var shortage *clientbudget.ShortageError
	switch {
	case errors.As(err, &shortage):
		return nil, noBodyMemory(w, err)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded):
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
func (c *call) readUntil(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit > 0 {
		limit++ // shows that the body is longer
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		return nil, err
	}
	c.room.account.Expect(time.Now())
	reads := &bodyReads{ctx: ctx, body: r.Body, shared: c.room.reads}
	body, err := c.readAll(ctx, reads, bodyParts{length: r.ContentLength, limit: limit})
	if err != nil {
		return nil, err
	}
	return body, controller.SetReadDeadline(time.Time{})
}
