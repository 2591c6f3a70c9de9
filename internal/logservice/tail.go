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

// Follower gets what a tail reads, from one goroutine.
type Follower interface {
	// Next returns the offset to read from.
	Next() Offset
	// Records gets the page's records in order; the page may be empty.
	Records(now time.Time, page Page)
	// Trimmed says that the stream now starts at first, beyond Next.
	Trimmed(now time.Time, first Offset)
	// Failed says that a read failed.
	Failed(now time.Time, err error)
}

// Tail follows a stream until ctx ends.
func Tail(ctx context.Context, reader Reader, stream StreamName, follower Follower) {
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
			follower.Records(now, page)
			continue
		case errors.As(err, &trimmed):
			follower.Trimmed(now, trimmed.First)
			continue
		}
		follower.Failed(now, err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, tailBackoffMax)
	}
}
