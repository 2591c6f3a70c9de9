package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/platform"
)

// attempt is one attempt of a client, on a connection of its own.
type attempt struct {
	method   string
	path     string
	key      string // empty for none
	body     string
	deadline time.Duration
	stream   bool
	lastID   int // 0 if the client has no event
}

// answer is what a client got.
type answer struct {
	id         string
	status     int  // 0 if there was no answer
	closed     bool // the instance has closed the connection without an answer
	signed     bool
	whole      bool
	body       string
	lastID     int // of the last event
	retryAfter time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("request %s: status %d, closed %t, signed %t, whole %t, %d bytes, last event %d, retry after %s", a.id, a.status, a.closed, a.signed, a.whole, len(a.body), a.lastID, a.retryAfter)
}

// requestNumber numbers the attempts of all clients.
var requestNumber atomic.Int64

// send sends an attempt to an instance, on a connection of its own, and reads its answer.
func send(to string, a attempt) answer {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, "tcp4", to)
	if err != nil {
		return answer{id: newRequestID()}
	}
	defer func() { _ = connection.Close() }()
	return sendOn(connection, bufio.NewReader(connection), a)
}

func newRequestID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)) }

// sendOn sends an attempt on an open connection, and reads its answer.
func sendOn(connection net.Conn, reader *bufio.Reader, a attempt) answer {
	got := answer{id: newRequestID()}
	_ = connection.SetDeadline(time.Now().Add(a.deadline)) // fails only if the connection has ended
	if _, err := io.WriteString(connection, a.text(got.id)); err != nil {
		return got
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: a.method})
	if err != nil {
		got.closed = errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status = response.StatusCode
	got.signed = response.Header.Get(platform.HeaderSignature) != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get(platform.HeaderRetryAfter), 64); err == nil {
		got.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	data, err := io.ReadAll(response.Body)
	got.whole, got.body, got.lastID = err == nil, string(data), lastEvent(string(data))
	return got
}

// text returns the bytes of an attempt.
func (a *attempt) text(id string) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, host, id, a.deadline.Milliseconds())
	if a.key != "" {
		_, _ = fmt.Fprintf(&b, "X-Api-Key: %s\r\n", a.key)
	}
	if a.lastID > 0 {
		_, _ = fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", a.lastID)
	}
	if a.stream {
		// The last part of a prompt belongs to the request itself.
		_, _ = fmt.Fprintf(&b, "X-Model: daka510000\r\nX-Token-Counts: 800,80\r\nX-Prompt-Prefix: 5c1e07a2:40,%x:760\r\n", a.body)
	}
	_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	return b.String()
}

// lastEvent returns the id of the last whole event, 0 if there is none.
func lastEvent(text string) int {
	last := 0
	events := strings.Split(text, "\n\n")
	for _, event := range events[:len(events)-1] {
		line, _, _ := strings.Cut(event, "\n")
		if id, err := strconv.Atoi(strings.TrimPrefix(line, "id: ")); err == nil {
			last = id
		}
	}
	return last
}
