package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	initialBufferSize = 2 << 10  // bytes
	freeEventSize     = 16 << 10 // bytes, up to which no memory is held
	maxEventSize      = 1 << 20  // bytes
)

// sseEvent is one server-sent event, including the empty line that ends it.
type sseEvent struct {
	id    int64
	hasID bool
	data  []byte // valid until the next call of next
}

// isComment reports whether the event has comments only, which keep a connection alive.
func (e *sseEvent) isComment() bool {
	for line := range bytes.Lines(e.data) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// eventMemory holds and gives back memory for long events, in bytes. The error of hold says why there is none.
type eventMemory struct {
	hold    func(size int64) error
	release func(size int64)
}

// sseReader splits a stream into complete events. It never returns a truncated event. close must be called.
type sseReader struct {
	source io.Reader
	memory eventMemory
	held   int64 // bytes
	buffer []byte
	start  int
	end    int
	err    error
}

func newSSEReader(source io.Reader, memory eventMemory) *sseReader {
	return &sseReader{source: source, memory: memory, buffer: make([]byte, initialBufferSize)}
}

// close gives back what is held.
func (r *sseReader) close() {
	r.memory.release(r.held)
	r.held = 0
	r.buffer = nil
}

// grow doubles the buffer. Memory for it is held before.
func (r *sseReader) grow() error {
	size := 2 * len(r.buffer)
	if size > freeEventSize {
		if err := r.memory.hold(int64(size)); err != nil {
			return err
		}
	}
	r.buffer = append(make([]byte, 0, size), r.buffer...)[:size]
	r.memory.release(r.held)
	if size > freeEventSize {
		r.held = int64(size)
	}
	return nil
}

var eventEnd = []byte("\n\n")

// next returns the next event. The error is io.EOF if the stream ends after a complete
// event, and io.ErrUnexpectedEOF if it ends within one.
func (r *sseReader) next() (sseEvent, error) {
	for {
		if end := bytes.Index(r.buffer[r.start:r.end], eventEnd); end >= 0 {
			data := r.buffer[r.start : r.start+end+len(eventEnd)]
			r.start += len(data)
			return parseEvent(data), nil
		}
		if r.err != nil {
			if errors.Is(r.err, io.EOF) && r.end > r.start {
				return sseEvent{}, io.ErrUnexpectedEOF
			}
			return sseEvent{}, r.err
		}
		r.fill()
	}
}

// hasCompleteEvent reports whether the buffer holds a complete event.
func (r *sseReader) hasCompleteEvent() bool {
	return bytes.Contains(r.buffer[r.start:r.end], eventEnd)
}

func (r *sseReader) fill() {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= maxEventSize {
			r.err = errTooLarge
			return
		}
		if r.err = r.grow(); r.err != nil {
			return
		}
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
}

func parseEvent(data []byte) sseEvent {
	e := sseEvent{data: data}
	for _, line := range bytes.Split(data, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		e.id, e.hasID = id, err == nil
	}
	return e
}
