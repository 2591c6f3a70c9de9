package gateway

import (
	"context"
	"fmt"
	"io"

	"golang.org/x/time/rate"
)

const (
	// A body may be read in one read for each bytesPerRead, and in freeReads more. Further ones share
	// smallReadsPerSecond with those of all other bodies: a body in chunks or pieces of few bytes costs far more
	// processor time than its size tells.
	bytesPerRead        = 4 << 10
	freeReads           = 64
	smallReadsPerSecond = 2000
	// smallReadsBurst is as many as a body of 4 MiB in chunks of one byte takes.
	smallReadsBurst = 6000
)

// bodyReads reads the body of a request, and spaces out the reads that are too many for its size.
type bodyReads struct {
	ctx     context.Context // of the request, until its deadline
	body    io.Reader
	shared  *rate.Limiter // of all requests
	reads   int64
	arrived int64 // bytes
}

func newReadLimiter() *rate.Limiter {
	return rate.NewLimiter(smallReadsPerSecond, smallReadsBurst)
}

// Read implements io.Reader. Where the wait for a read would exceed the request's deadline, the error is
// context.DeadlineExceeded.
func (r *bodyReads) Read(data []byte) (int, error) {
	r.reads++
	if r.reads > freeReads+r.arrived/bytesPerRead {
		if err := r.shared.Wait(r.ctx); err != nil {
			return 0, fmt.Errorf("%w: too many reads for the body's size: %w", context.DeadlineExceeded, err)
		}
	}
	n, err := r.body.Read(data)
	r.arrived += int64(n)
	return n, err
}
