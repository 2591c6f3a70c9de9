package gateway

import (
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	eventBuffer  = 2 << 10 // bytes
	largestEvent = 1 << 20 // bytes
)

// event is one event of a stream, with the empty line that ends it.
type event struct {
	id    int64
	hasID bool
	data  []byte // valid until the next one is read
}

// eventReader splits a stream into whole events. What a backend server broke off
// inside an event is never returned.
type eventReader struct {
	from    io.Reader
	buffer  []byte
	start   int
	end     int
	failure error
}

func newEventReader(from io.Reader) *eventReader {
	return &eventReader{from: from, buffer: make([]byte, eventBuffer)}
}

var eventEnd = []byte("\n\n")

// next returns the next event. The error is io.EOF at a clean end, and
// io.ErrUnexpectedEOF where the stream ends inside an event.
func (r *eventReader) next() (event, error) {
	for {
		if at := bytes.Index(r.buffer[r.start:r.end], eventEnd); at >= 0 {
			data := r.buffer[r.start : r.start+at+len(eventEnd)]
			r.start += len(data)
			return parseEvent(data), nil
		}
		if r.failure != nil {
			if errors.Is(r.failure, io.EOF) && r.end > r.start {
				return event{}, io.ErrUnexpectedEOF
			}
			return event{}, r.failure
		}
		r.fill()
	}
}

// pending tells whether a whole event is already in memory.
func (r *eventReader) pending() bool {
	return bytes.Contains(r.buffer[r.start:r.end], eventEnd)
}

func (r *eventReader) fill() {
	if r.start > 0 {
		copy(r.buffer, r.buffer[r.start:r.end])
		r.end -= r.start
		r.start = 0
	}
	if r.end == len(r.buffer) {
		if len(r.buffer) >= largestEvent {
			r.failure = errTooLarge
			return
		}
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.from.Read(r.buffer[r.end:])
	r.end += n
	r.failure = err
}

func parseEvent(data []byte) event {
	e := event{data: data}
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
