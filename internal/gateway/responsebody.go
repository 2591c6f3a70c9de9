package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"mulberryhead.org/mulberryhead/internal/clientbudget"
)

// freeResponse is the size up to which a buffered response needs no memory held for it.
const freeResponse = clientbudget.SmallSize

// readResponse reads the body of a buffered response, or one byte more than maxResponseSize of a larger one,
// into memory that is held for it until its request has ended. The error is a *clientbudget.ShortageError,
// that of ctx or that of the reader.
func (c *call) readResponse(ctx context.Context, body io.Reader, length int64) ([]byte, error) {
	return c.readAll(ctx, body, bodyParts{length: length, limit: maxResponseSize + 1, free: freeResponse})
}

// writeBody writes a buffered response to the client. While memory is short, a client that reads a long one
// below the minimum data rate may be evicted; the response then breaks off.
func (c *call) writeBody(w http.ResponseWriter, body []byte) error {
	if len(body) <= freeResponse {
		_, err := w.Write(body)
		return err
	}
	c.room.account.Expect(time.Now())
	for len(body) > 0 {
		if c.room.account.Evicted() {
			return &clientbudget.ShortageError{Evicted: true, Held: c.room.size.Load()}
		}
		n, err := w.Write(body[:min(len(body), freeResponse)])
		if err != nil {
			return err
		}
		c.room.account.Received(time.Now(), n)
		body = body[n:]
	}
	return nil
}
