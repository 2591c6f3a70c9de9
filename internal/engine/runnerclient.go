package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	statusTimeout  = 1 * time.Second
	maxStatusBytes = 1 << 16
	// statusMemory is the memory of all statuses that are read at once, beyond a small part of each.
	statusMemory = 4 << 20 // bytes
)

type wireStatus struct {
	Incarnation    string `json:"incarnation"`
	Model          string `json:"model"`
	Version        string `json:"version"`
	Layers         int    `json:"layers"`
	First          int    `json:"first"`
	End            int    `json:"end"`
	Leaving        bool   `json:"leaving"`
	Loading        bool   `json:"loading"`
	Queued         int    `json:"queued"`
	Sessions       int    `json:"sessions"`
	PositionMicros int64  `json:"position-micros"`
	BatchMicros    int64  `json:"batch-micros"`
	Fence          int64  `json:"fence"`
}

// StatusError reports that a runner's status could not be fetched or decoded.
type StatusError struct {
	Runner runner.ID
	Cause  error
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("fetch status of runner %s: %v", e.Runner, e.Cause)
}

func (e *StatusError) Unwrap() error { return e.Cause }

// RunnerClient is the HTTP client for the status and orders of runners.
type RunnerClient struct {
	http   *http.Client
	memory *http1.Memory
}

// NewRunnerClient returns a client with its own connection pool and a timeout of
// statusTimeout.
func NewRunnerClient() *RunnerClient {
	memory := http1.NewMemory(statusMemory)
	return &RunnerClient{http: http1.NewClient(&http.Transport{MaxIdleConnsPerHost: 1}, memory), memory: memory}
}

// FetchReport fetches the report of the runner at address, HOST:PORT. The error is
// a *StatusError.
func (c *RunnerClient) FetchReport(ctx context.Context, id runner.ID, address string) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return Report{}, &StatusError{Runner: id, Cause: err}
	}
	start := time.Now()
	response, err := c.http.Do(request) //nolint:bodyclose // ReadBody closes it
	if err != nil {
		return Report{}, &StatusError{Runner: id, Cause: err}
	}
	data, release, err := c.memory.ReadBody(response, maxStatusBytes)
	if err != nil {
		return Report{}, &StatusError{Runner: id, Cause: err}
	}
	defer release()
	var w wireStatus
	if err := json.Unmarshal(data, &w); err != nil {
		return Report{}, &StatusError{Runner: id, Cause: err}
	}
	report := reportFromWire(&w)
	report.RoundTrip = time.Since(start)
	return report, nil
}

func reportFromWire(w *wireStatus) Report {
	return Report{
		Incarnation: w.Incarnation,
		Model:       environment.ModelName(w.Model), Version: environment.ModelVersion(w.Version),
		Layers: w.Layers, Range: runner.LayerRange{First: w.First, End: w.End},
		Leaving: w.Leaving, Loading: w.Loading, Queued: w.Queued, Sessions: w.Sessions,
		BatchCost:    time.Duration(w.BatchMicros) * time.Microsecond,
		PositionCost: time.Duration(w.PositionMicros) * time.Microsecond,
		FencingToken: w.Fence,
	}
}
