package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/internal/http1"
)

const requestTimeout = 2 * time.Minute

// ProblemError is an error response of an instance. A problem that arrives within
// a stream has only a Status, which is 200, and a Code.
type ProblemError struct {
	Status     int
	Code       string
	Outcome    string
	Attempt    string
	RetryAfter string
}

func (e *ProblemError) Error() string {
	return fmt.Sprintf("%d %s", e.Status, e.Code)
}

// IncompleteResponseError is returned when no complete, readable response was received.
type IncompleteResponseError struct {
	Cause error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("incomplete response: %v", e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

var errMissingDone = errors.New("stream ended without [DONE]")

type httpClient struct {
	http *http.Client
}

func newHTTPClient() *httpClient {
	const (
		maxIdleConns = 4096
		headMemory   = 64 << 20 // bytes, of long heads
	)
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	client := http1.NewClient(transport, http1.NewMemory(headMemory))
	client.Timeout = requestTimeout
	return &httpClient{http: client}
}

func (c *httpClient) request(ctx context.Context, method, url string, o Options, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+o.APIKey)
	request.Header.Set("Content-Type", "application/json")
	if o.Stage != "" {
		request.Header.Set("Mulberryhead-Stage", o.Stage)
	}
	return request, nil
}

type wireChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// stream requests a streamed chat answer and calls onToken for each token. It
// returns nil only if the stream ended with [DONE].
func (c *httpClient) stream(ctx context.Context, address string, o Options, prompt string, onToken func(string)) error {
	body, err := json.Marshal(map[string]any{
		"model": o.Model, "max_tokens": o.MaxTokens, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return err
	}
	request, err := c.request(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", o, body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &IncompleteResponseError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readProblem(response)
	}
	return readEvents(response.Body, onToken)
}

func readEvents(body io.Reader, onToken func(string)) error {
	scanner := bufio.NewScanner(body)
	errorEvent := false
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			errorEvent = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if errorEvent {
			return problemFromJSON(http.StatusOK, []byte(data))
		}
		if data == "[DONE]" {
			return nil
		}
		var chunk wireChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return &IncompleteResponseError{Cause: err}
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content != "" {
				onToken(choice.Delta.Content)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return &IncompleteResponseError{Cause: err}
	}
	return &IncompleteResponseError{Cause: errMissingDone}
}

func readProblem(response *http.Response) error {
	const maxProblemBytes = 1 << 16
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return &IncompleteResponseError{Cause: err}
	}
	p := problemFromJSON(response.StatusCode, data)
	p.Outcome = response.Header.Get("Mulberryhead-Outcome")
	p.Attempt = response.Header.Get("Mulberryhead-Attempt")
	p.RetryAfter = response.Header.Get("Retry-After")
	return p
}

func problemFromJSON(status int, data []byte) *ProblemError {
	var wire struct {
		Code string `json:"code"`
	}
	if err := json.Unmarshal(data, &wire); err != nil {
		return &ProblemError{Status: status, Code: "unreadable"}
	}
	return &ProblemError{Status: status, Code: wire.Code}
}

// post makes a call with an idempotency key and returns the reported outcome.
func (c *httpClient) post(ctx context.Context, address string, o Options, key string, body []byte) (outcome string, err error) {
	request, err := c.request(ctx, http.MethodPost, "http://"+address+"/services/"+o.Service+o.CallPath, o, body)
	if err != nil {
		return "", err
	}
	request.Header.Set("Idempotency-Key", key)
	response, err := c.http.Do(request)
	if err != nil {
		return "", &IncompleteResponseError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Content-Type") == "application/problem+json" {
		err := readProblem(response)
		return response.Header.Get("Mulberryhead-Outcome"), err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "", &IncompleteResponseError{Cause: err}
	}
	return response.Header.Get("Mulberryhead-Outcome"), nil
}
