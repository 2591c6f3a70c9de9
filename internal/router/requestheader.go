package router

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// headerBuffer is the first buffer for a header that does not arrive at once.
	headerBuffer = 4 << 10 // bytes
	// usualHeaderCost is the memory of a header that a connection holds by itself. A header costs
	// headerByteCost for each byte, which is kept as it was read and once parsed, and headerLineCost for
	// each line: the entries of the maps that a request is parsed to and sent from.
	usualHeaderCost = 16 << 10 // bytes
	headerByteCost  = 2
	headerLineCost  = 512 // bytes
	// lingerTime and lingerBytes bound what is still read after a refusal, which the client could lose
	// otherwise.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// refusalRetryAfter is sent to a client whose header could not be held.
	refusalRetryAfter = time.Second
)

// requestHeader is the header of the next request, as far as it was read, and what remains to be passed on.
type requestHeader struct {
	maxBytes func() int
	ready    []byte // to be passed on, with what came behind the header
	err      error  // to be passed on after ready
	last     []byte // the last bytes that were read, which may be the first of an empty line
	size     int    // of the header so far
	held     int64  // memory beyond that of the connection
}

// emptyLines end a header.
var emptyLines = [][]byte{[]byte("\n\r\n"), []byte("\n\n")}

// maxEmptyLine is the length of the longest of emptyLines.
const maxEmptyLine = 3

// unknownRank is that of a request whose header is not known yet.
var unknownRank = routing.Rank{Priority: math.MaxInt}

// take returns the next part of what is to be passed on.
func (h *requestHeader) take(data []byte) (int, error) {
	if len(h.ready) == 0 {
		h.ready = nil
		return 0, h.err
	}
	n := copy(data, h.ready)
	h.ready = h.ready[n:]
	return n, nil
}

// endIn returns where in data, which was read after all before, a header may end first, and false if it
// can't. That may be too early, after a body that ends with a line: net/http then asks for more.
func (h *requestHeader) endIn(data []byte) (int, bool) {
	first := len(data) + 1
	border := slices.Concat(h.last, data[:min(len(data), maxEmptyLine-1)])
	for _, line := range emptyLines {
		if at := bytes.Index(data, line); at >= 0 {
			first = min(first, at+len(line))
		}
		for at := range border {
			if end := at + len(line) - len(h.last); end > 0 && bytes.HasPrefix(border[at:], line) {
				first = min(first, end)
			}
		}
	}
	h.skip(data)
	return first, first <= len(data)
}

// skip records data that was read.
func (h *requestHeader) skip(data []byte) {
	h.last = lastBytes(slices.Concat(h.last, lastBytes(data)))
}

// lastBytes returns the bytes of data that may belong to an empty line which ends later.
func lastBytes(data []byte) []byte { return data[max(0, len(data)-maxEmptyLine+1):] }

// reset begins the next header, and returns how much memory was held for this one.
func (h *requestHeader) reset() int64 {
	held := h.held
	h.size, h.held = 0, 0
	return held
}

// headerRefusal is why a header is not passed on.
type headerRefusal struct {
	status     int
	code       string
	retryAfter time.Duration // 0 for none
}

var (
	headerTooLarge = &headerRefusal{status: http.StatusRequestHeaderFieldsTooLarge, code: "header-too-large"}
	noClientMemory = &headerRefusal{status: http.StatusServiceUnavailable, code: "no-client-memory", retryAfter: refusalRetryAfter}
)

// readHeader reads the next header and passes it on once it is whole, or its connection has ended. A header
// that is too large, or for which there is no memory, is refused here, and net/http is told that the
// connection has ended.
func (c *clientConnection) readHeader(data []byte) (int, error) {
	n, err := c.read(data)
	end, whole := c.header.endIn(data[:n])
	if whole || err != nil && !c.isEvicted() {
		if refused := c.holdParsed(data[:min(end, n)]); refused != nil {
			return c.refuse(refused)
		}
		return n, err
	}
	// net/http bounds the time of a new connection's header only.
	_ = c.SetReadDeadline(time.Now().Add(headerTimeout)) // fails only if the connection has ended
	buffer := append(make([]byte, 0, max(headerBuffer, n)), data[:n]...)
	for !whole && err == nil {
		var refused *headerRefusal
		if buffer, refused = c.growHeader(buffer); refused != nil {
			return c.refuse(refused)
		}
		n, err = c.read(buffer[len(buffer):cap(buffer)])
		end, whole = c.header.endIn(buffer[len(buffer) : len(buffer)+n])
		end = min(end, n) + len(buffer)
		buffer = buffer[:len(buffer)+n]
	}
	if c.isEvicted() {
		return c.refuse(noClientMemory)
	}
	if refused := c.holdParsed(buffer[:end]); refused != nil {
		return c.refuse(refused)
	}
	c.header.ready, c.header.err = buffer, err
	return c.header.take(data)
}

// growHeader returns a buffer with room for more of a header.
func (c *clientConnection) growHeader(buffer []byte) ([]byte, *headerRefusal) {
	most := c.header.maxBytes()
	switch {
	case c.header.size+len(buffer) > most:
		return nil, headerTooLarge
	case len(buffer) < cap(buffer):
		return buffer, nil
	}
	grown := min(2*cap(buffer), max(most, cap(buffer))+1)
	if refused := c.holdHeader(int64(grown - cap(buffer))); refused != nil {
		return nil, refused
	}
	return append(make([]byte, 0, grown), buffer...), nil
}

// holdParsed holds memory for a part of a header once it is parsed.
func (c *clientConnection) holdParsed(part []byte) *headerRefusal {
	c.header.size += len(part)
	cost := int64(len(part)*headerByteCost + bytes.Count(part, []byte{'\n'})*headerLineCost)
	if cost <= usualHeaderCost {
		return nil
	}
	return c.holdHeader(cost - usualHeaderCost)
}

func (c *clientConnection) holdHeader(size int64) *headerRefusal {
	if err := c.account.Hold(context.Background(), size, unknownRank); err != nil {
		return noClientMemory
	}
	c.header.held += size
	return nil
}

func (c *clientConnection) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// refuse responds that the request is not run, and ends the connection for net/http.
func (c *clientConnection) refuse(refused *headerRefusal) (int, error) {
	c.account.Release(c.header.reset())
	// The client may have left or not read: the refusal is lost then.
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := c.Conn.Write(refused.response()); err == nil {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begunAt = time.Time{} // no request follows
	return 0, io.EOF
}

// response returns the response to the client.
func (r *headerRefusal) response() []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n",
		r.status, http.StatusText(r.status), len(r.code)+1)
	if r.retryAfter > 0 {
		_, _ = fmt.Fprintf(&b, "%s: %s\r\n", platform.HeaderRetryAfter, platform.FormatRetryAfter(r.retryAfter))
	}
	_, _ = fmt.Fprintf(&b, "\r\n%s\n", r.code)
	return b.Bytes()
}
