package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 16 << 20
	// responseMemory is the memory of a response that is read.
	responseMemory = 48 << 20 // bytes
)

// Client is a client of the administration API of one entry instance.
type Client struct {
	base   string
	token  string
	http   *http.Client
	memory *http1.Memory
}

// NewClient returns a client of the instance at address, HOST:PORT, that authenticates
// with the operators' token.
func NewClient(address, token string) *Client {
	memory := http1.NewMemory(responseMemory)
	return &Client{
		base: "http://" + address + "/admin/v1", token: token,
		http:   http1.NewClient(http.DefaultTransport.(*http.Transport).Clone(), memory),
		memory: memory,
	}
}

// APIError is an error response of the instance.
type APIError struct {
	Status int
	Code   string
	Detail string
	// Winner is the active document that the request conflicts with, or nil.
	Winner *PublishResult
}

func (e *APIError) Error() string {
	if e.Winner != nil {
		return fmt.Sprintf("%s: version %d is active (digest %.12s)", e.Code, e.Winner.Version, e.Winner.Digest)
	}
	return e.Code + ": " + e.Detail
}

// PublishResult describes an accepted document.
type PublishResult struct {
	Environment environment.Name
	Stage       environment.Stage
	Version     document.Version
	Digest      environment.Digest
}

// PublishRequest describes a document to publish or promote.
type PublishRequest struct {
	Environment environment.Name
	ID          document.PublishID
	// Base is the version to replace, or nil for the active one.
	Base *document.Version
	Body []byte
}

func (p PublishRequest) query() string {
	values := url.Values{"publish-id": {p.ID.String()}}
	if p.Base != nil {
		values.Set("base", fmt.Sprint(int64(*p.Base)))
	}
	return values.Encode()
}

// Publish publishes a document to the trial stage. The error is an *APIError if the
// instance responded with a status other than 200.
func (c *Client) Publish(ctx context.Context, p PublishRequest) (PublishResult, error) {
	path := fmt.Sprintf("/environments/%s/%s?%s", url.PathEscape(string(p.Environment)), environment.Trial, p.query())
	return c.sendPublish(ctx, http.MethodPost, path, p.Body)
}

// Promote publishes the active trial document to production. The body of p is not
// used. Errors are those of Publish.
func (c *Client) Promote(ctx context.Context, p PublishRequest) (PublishResult, error) {
	path := fmt.Sprintf("/environments/%s/promote?%s", url.PathEscape(string(p.Environment)), p.query())
	return c.sendPublish(ctx, http.MethodPut, path, nil)
}

func (c *Client) sendPublish(ctx context.Context, method, path string, body []byte) (PublishResult, error) {
	var wire wireEntry
	if err := c.do(ctx, method, path, body, &wire); err != nil {
		return PublishResult{}, err
	}
	return publishResultFromWire(&wire), nil
}

func publishResultFromWire(w *wireEntry) PublishResult {
	return PublishResult{
		Environment: environment.Name(w.Environment), Stage: environment.Stage(w.Stage),
		Version: document.Version(w.Version), Digest: environment.Digest(w.Digest),
	}
}

// Status returns the status of the instance. Errors are those of Publish.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var wire wireStatus
	if err := c.do(ctx, http.MethodGet, "/status", nil, &wire); err != nil {
		return Status{}, err
	}
	return statusFromWire(&wire), nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request) //nolint:bodyclose // ReadBody closes it
	if err != nil {
		return fmt.Errorf("send request to instance: %w", err)
	}
	data, release, err := c.memory.ReadBody(response, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	defer release()
	if response.StatusCode != http.StatusOK {
		return problemFromWire(response.StatusCode, data)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func problemFromWire(status int, data []byte) error {
	var wire wireProblem
	if err := json.Unmarshal(data, &wire); err != nil {
		return &APIError{Status: status, Code: "unexpected-answer", Detail: http.StatusText(status)}
	}
	problem := &APIError{Status: status, Code: wire.Code, Detail: wire.Detail}
	if wire.Winner != nil {
		winner := publishResultFromWire(wire.Winner)
		problem.Winner = &winner
	}
	return problem
}
