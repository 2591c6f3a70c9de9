package logservice

import (
	"context"
	"errors"
	"time"
)

const (
	tailPollTimeout = 2 * time.Second
	minTailBackoff  = 50 * time.Millisecond
	maxTailBackoff  = 1 * time.Second
)

// Reader reads a stream. *Client implements it.
type Reader interface {
	Read(ctx context.Context, stream StreamName, from Offset, wait time.Duration) (Page, error)
}

// Consumer handles the results of the reads of Tail, which calls it from one
// goroutine.
type Consumer interface {
	// Next returns the offset of the next read.
	Next() Offset
	// HandleRecords handles the records of a page, in order. The page may be empty.
	HandleRecords(now time.Time, page Page)
	// HandleTrim handles a trim of unread records: the stream now starts at first,
	// after Next.
	HandleTrim(now time.Time, first Offset)
	// HandleReadError handles a failed read. Tail retries it after a backoff.
	HandleReadError(now time.Time, err error)
}

// Tail reads a stream continuously until ctx is done.
func Tail(ctx context.Context, reader Reader, stream StreamName, consumer Consumer) {
	backoff := minTailBackoff
	for ctx.Err() == nil {
		page, err := reader.Read(ctx, stream, consumer.Next(), tailPollTimeout)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		var trimmed *TrimmedError
		switch {
		case err == nil:
			backoff = minTailBackoff
			consumer.HandleRecords(now, page)
			continue
		case errors.As(err, &trimmed):
			consumer.HandleTrim(now, trimmed.First)
			continue
		}
		consumer.HandleReadError(now, err)
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxTailBackoff)
	}
}
