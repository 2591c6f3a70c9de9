package logservice

import (
	"context"
	"errors"
	"time"
)

const (
	tailWait       = 2 * time.Second
	tailBackoffMin = 50 * time.Millisecond
	tailBackoffMax = 1 * time.Second
)

// Reader reads a stream. *Client is one.
type Reader interface {
	Read(ctx context.Context, stream StreamName, from Offset, wait time.Duration) (Page, error)
}

// Consumer gets what a tail reads, from one goroutine.
type Consumer interface {
	// Next returns the offset to read from.
	Next() Offset
	// HandleRecords gets the page's records in order; the page may be empty.
	HandleRecords(now time.Time, page Page)
	// HandleTrim says that the stream now starts at first, beyond Next.
	HandleTrim(now time.Time, first Offset)
	// HandleReadError says that a read failed.
	HandleReadError(now time.Time, err error)
}

// Tail follows a stream until ctx ends.
func Tail(ctx context.Context, reader Reader, stream StreamName, follower Consumer) {
	backoff := tailBackoffMin
	for ctx.Err() == nil {
		page, err := reader.Read(ctx, stream, follower.Next(), tailWait)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		var trimmed *TrimmedError
		switch {
		case err == nil:
			backoff = tailBackoffMin
			follower.HandleRecords(now, page)
			continue
		case errors.As(err, &trimmed):
			follower.HandleTrim(now, trimmed.First)
			continue
		}
		follower.HandleReadError(now, err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, tailBackoffMax)
	}
}
