package http1

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"
)

const (
	// freeBody is the part of a body that needs no memory held for it.
	freeBody = 16 << 10 // bytes
	// firstBuffer is the first buffer for a body without a length, and growth by how much it grows once it is
	// full. Meanwhile the old one is there as well.
	firstBuffer = 1 << 10 // bytes
	growth      = 4
)

// TooLargeError reports an answer whose body exceeds the limit of its reader, in bytes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.Limit)
}

// NoMemoryError reports that there was no memory for an answer beside others, in bytes.
type NoMemoryError struct{ Size int64 }

func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for %d bytes of a response", e.Size)
}

// Memory bounds what all answers that are read with it take together, but for the first 16 KiB of each body. It
// is safe for concurrent use.
type Memory struct {
	size  int64
	total *semaphore.Weighted
}

// NewMemory returns a Memory of a size in bytes. What one answer takes is counted as no more than that.
func NewMemory(size int64) *Memory { return &Memory{size: size, total: semaphore.NewWeighted(size)} }

// ReadAll reads a body whole. length is that which its head tells, negative if it tells none. A body beyond the
// first part waits for memory until ctx ends. What it takes is given back by release, which may be called more
// than once. The error is a *TooLargeError beyond limit, a *NoMemoryError, or that of the body.
func (m *Memory) ReadAll(ctx context.Context, body io.Reader, length, limit int64) (data []byte, release func(), err error) {
	if length > limit {
		return nil, nothingHeld, &TooLargeError{Limit: limit}
	}
	release = nothingHeld
	for size, held := firstSize(length), false; ; size = nextSize(size, length) {
		size = min(size, limit+1)
		if size > freeBody+1 && !held {
			if release, err = m.hold(ctx, costOf(length, limit)); err != nil {
				return nil, nothingHeld, err
			}
			held = true
		}
		var ended bool
		data, ended, err = fill(append(make([]byte, 0, size), data...), body)
		if err == nil && int64(len(data)) > limit {
			err = &TooLargeError{Limit: limit}
		}
		if err != nil {
			release()
			return nil, nothingHeld, err
		}
		if ended {
			return trimmed(data), release, nil
		}
	}
}

// firstSize returns the size of the first buffer for a body, which has room for one byte beyond its length.
func firstSize(length int64) int64 {
	if length < 0 {
		return firstBuffer
	}
	return min(length, freeBody) + 1
}

func nextSize(size, length int64) int64 {
	switch {
	case length >= size:
		return length + 1
	case size <= freeBody:
		return min(growth*size, freeBody+1)
	}
	return growth * size
}

// costOf returns what a body takes that is longer than its free part.
func costOf(length, limit int64) int64 {
	if length < 0 {
		return limit + limit/growth
	}
	return length
}

// trimmed returns data in a buffer that is not much larger, as its reader may keep parts of it.
func trimmed(data []byte) []byte {
	if cap(data) > 2*len(data) {
		return bytes.Clone(data)
	}
	return data
}

// fill reads from a body until data has no room left. ended reports whether the body has ended before.
func fill(data []byte, body io.Reader) (filled []byte, ended bool, err error) {
	for len(data) < cap(data) {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return data, false, nil
}

// ReadBody is ReadAll for the body of a response, which it closes. It waits until the context of its request ends.
func (m *Memory) ReadBody(response *http.Response, limit int64) (data []byte, release func(), err error) {
	length := response.ContentLength
	if response.Request.Method == http.MethodHead {
		length = 0 // the head tells that of another response
	}
	data, release, err = m.ReadAll(response.Request.Context(), response.Body, length, limit)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		release()
		return nil, nothingHeld, err
	}
	return data, release, nil
}

func nothingHeld() {}

// tryHold holds memory if there is any, without a wait, and returns how much. The error is a *NoMemoryError.
func (m *Memory) tryHold(size int64) (int64, error) {
	size = min(size, m.size)
	if !m.total.TryAcquire(size) {
		return 0, &NoMemoryError{Size: size}
	}
	return size, nil
}

// hold waits for memory until ctx ends. The error is a *NoMemoryError.
func (m *Memory) hold(ctx context.Context, size int64) (release func(), err error) {
	size = min(size, m.size)
	if m.total.Acquire(ctx, size) != nil {
		return nil, &NoMemoryError{Size: size}
	}
	return sync.OnceFunc(func() { m.total.Release(size) }), nil
}
