// Package logservice is the client of the platform's log service. Each of its
// subpackages document, claim and lease keeps its state in a stream of the log.
//
// Usage: append a record with Client.Append and follow a stream with Tail:
//
//	client := logservice.NewClient(address, callerID)
//	go logservice.Tail(ctx, client, "claims", consumer)
//	offset, err := client.Append(ctx, "claims", body)
//	var uncertain *logservice.UncertainError
//	if errors.As(err, &uncertain) {
//		// The record may be on the log already, may be appended later, or never.
//	}
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"mulberryhead.org/mulberryhead/internal/http1"
)

const (
	appendTimeout     = 3 * time.Second
	readTimeoutMargin = 2 * time.Second
	maxPageBytes      = 64 << 20
	maxAppendBytes    = 64 << 10 // of the response
	// pageMemory is the memory of all pages that are read at once, beyond a small part of each.
	pageMemory = 192 << 20 // bytes
)

// Offset is the position of a record in its stream, starting at 0.
type Offset int64

// StreamName is the name of a stream, as it appears in the URLs of the log service.
type StreamName string

// Record is one entry of a stream.
type Record struct {
	Offset Offset
	// Time is when the log service accepted the record, by its own clock.
	Time time.Time
	Body []byte
}

// Page is a sequence of consecutive records.
type Page struct {
	// First is the oldest offset that the stream retains.
	First Offset
	// Next is the offset of the next record to be appended.
	Next    Offset
	Records []Record
}

// RefusedError reports that an append did not take effect and never will.
type RefusedError struct {
	Stream     StreamName
	RetryAfter time.Duration
	Cause      error
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("append to %s refused: %v", e.Stream, e.Cause)
}

func (e *RefusedError) Unwrap() error { return e.Cause }

// UncertainError reports an append with unknown result: the record may have been
// appended, or may still be.
type UncertainError struct {
	Stream StreamName
	Cause  error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("append to %s has an unknown result: %v", e.Stream, e.Cause)
}

func (e *UncertainError) Unwrap() error { return e.Cause }

// UnavailableError reports that a read failed.
type UnavailableError struct {
	Stream StreamName
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("read of %s failed: %v", e.Stream, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// TrimmedError reports that the stream no longer retains the requested offset.
type TrimmedError struct {
	Stream StreamName
	First  Offset
}

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s was trimmed and starts at offset %d", e.Stream, e.First)
}

// StatusError reports an unexpected HTTP status from the log service.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("log service returned status %d", e.Status)
}

// Client sends requests to one log service.
type Client struct {
	base      string
	userAgent string
	http      *http.Client
	memory    *http1.Memory
}

// NewClient returns a client of the log service at address, HOST:PORT. callerID
// is sent in the User-Agent header.
func NewClient(address, callerID string) *Client {
	memory := http1.NewMemory(pageMemory)
	return &Client{
		base:      "http://" + address + "/streams/",
		userAgent: "mulberryhead/" + callerID,
		http:      http1.NewClient(&http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}, memory),
		memory:    memory,
	}
}

type wireRecord struct {
	Offset     int64  `json:"offset"`
	TimeMillis int64  `json:"time-millis"`
	Body       []byte `json:"body"`
}

type wirePage struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []wireRecord `json:"records"`
}

// Append appends a record and returns its offset. The error is a *RefusedError or an *UncertainError.
func (c *Client) Append(ctx context.Context, stream StreamName, body []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	url := c.base + string(stream) + "/records"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, &RefusedError{Stream: stream, Cause: err}
	}
	request.Header.Set("User-Agent", c.userAgent)
	// A retry could append the record twice unnoticed, so the transport must not
	// retry on its own.
	request.GetBody = nil
	response, err := c.http.Do(request) //nolint:bodyclose // ReadBody closes it
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return 0, &RefusedError{Stream: stream, Cause: err}
		}
		return 0, &UncertainError{Stream: stream, Cause: err}
	}
	data, release, err := c.memory.ReadBody(response, maxAppendBytes)
	if err != nil {
		return 0, &UncertainError{Stream: stream, Cause: err}
	}
	defer release()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestEntityTooLarge:
		return 0, &RefusedError{Stream: stream, RetryAfter: retryAfter(response), Cause: &StatusError{Status: response.StatusCode}}
	default:
		return 0, &UncertainError{Stream: stream, Cause: &StatusError{Status: response.StatusCode}}
	}
	var record wireRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return 0, &UncertainError{Stream: stream, Cause: err}
	}
	return Offset(record.Offset), nil
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}

// Read returns the records starting at an offset. If there are none, it waits for
// the first one, for at most the duration wait. The error is a *TrimmedError or an
// *UnavailableError.
func (c *Client) Read(ctx context.Context, stream StreamName, from Offset, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	url := fmt.Sprintf("%s%s/records?from=%d&wait-millis=%d", c.base, stream, from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Page{}, &UnavailableError{Stream: stream, Cause: err}
	}
	request.Header.Set("User-Agent", c.userAgent)
	response, err := c.http.Do(request) //nolint:bodyclose // ReadBody closes it
	if err != nil {
		return Page{}, &UnavailableError{Stream: stream, Cause: err}
	}
	data, release, err := c.memory.ReadBody(response, maxPageBytes)
	if err != nil {
		return Page{}, &UnavailableError{Stream: stream, Cause: err}
	}
	defer release()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return Page{}, &UnavailableError{Stream: stream, Cause: &StatusError{Status: response.StatusCode}}
	}
	var wire wirePage
	if err := json.Unmarshal(data, &wire); err != nil {
		return Page{}, &UnavailableError{Stream: stream, Cause: err}
	}
	if response.StatusCode == http.StatusGone {
		return Page{}, &TrimmedError{Stream: stream, First: Offset(wire.First)}
	}
	return pageFromWire(wire), nil
}

func pageFromWire(wire wirePage) Page {
	page := Page{First: Offset(wire.First), Next: Offset(wire.Next)}
	for _, r := range wire.Records {
		page.Records = append(page.Records, Record{Offset: Offset(r.Offset), Time: time.UnixMilli(r.TimeMillis), Body: r.Body})
	}
	return page
}
