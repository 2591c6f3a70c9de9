package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/standin"
)

// BatchingOptions configures the batching experiment, which makes at-most-once
// calls.
type BatchingOptions struct {
	// Callers is the number of concurrent callers, each with one call in flight.
	Callers  int
	Duration time.Duration
	// AppendsPerSecond is the append rate limit of both the log and the batcher.
	AppendsPerSecond float64
	// AppendDelay is the latency added to each append.
	AppendDelay time.Duration
}

// BatchingResult is the measurement of one mode: one claim per append, or batched
// claims. Done counts the calls that completed, Other all remaining ones; the
// percentiles cover completed calls only.
type BatchingResult struct {
	Mode           string
	CallsPerSecond float64
	AppendsPerCall float64
	P50            time.Duration
	P95            time.Duration
	Done           int64
	Other          int64
}

// BatchingReport compares one claim per append with batched claims.
type BatchingReport struct {
	Options BatchingOptions
	Results []BatchingResult
}

// WriteText writes the report as a text table.
func (r *BatchingReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "callers %d\tlog limit %.0f appends/s\tappend %s\n",
		r.Options.Callers, r.Options.AppendsPerSecond, r.Options.AppendDelay)
	for _, b := range r.Results {
		_, _ = fmt.Fprintf(table, "%s\t%.0f calls/s\t%.3f appends/call\tp50 %s\tp95 %s\tdone %d\tother %d\n",
			b.Mode, b.CallsPerSecond, b.AppendsPerCall, b.P50, b.P95, b.Done, b.Other)
	}
	return table.Flush()
}

// instantDispatcher returns a fixed response without calling a service.
type instantDispatcher struct{}

// Dispatch implements claim.Dispatcher.
func (instantDispatcher) Dispatch(context.Context) claim.DispatchResult {
	return claim.ResponseReceived{Response: claim.Response{Status: http.StatusOK, Body: []byte(`{"number":1}`)}}
}

// Batching runs calls against an in-process log service, first with one claim per
// append and then with batched claims.
func Batching(ctx context.Context, o BatchingOptions) (*BatchingReport, error) {
	report := &BatchingReport{Options: o}
	for _, unbatched := range []bool{true, false} {
		result, err := runBatching(ctx, o, unbatched)
		if err != nil {
			return nil, err
		}
		report.Results = append(report.Results, result)
	}
	return report, nil
}

func runBatching(ctx context.Context, o BatchingOptions, unbatched bool) (BatchingResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform := standin.NewPlatform(standin.PlatformConfig{AppendsPerSecond: o.AppendsPerSecond})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return BatchingResult{}, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: headerTimeout}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }()
	log := logservice.NewClient(listener.Addr().String(), "experiment")
	batcher := claim.NewBatcher(slowAppender{log, o.AppendDelay}, o.AppendsPerSecond)
	batcher.SetUnbatched(unbatched)
	executor := claim.NewExecutor(batcher, func(context.Context, *claim.Executor) error { return nil })
	go batcher.Run(ctx)
	go logservice.Tail(ctx, log, claim.Stream, executor)
	result := runConcurrentCalls(ctx, executor, o)
	stats := batcher.Stats()
	result.Mode = "many claims an append"
	if unbatched {
		result.Mode = "one claim an append"
	}
	result.AppendsPerCall = float64(stats.Appends) / float64(max(result.Done+result.Other, 1))
	return result, nil
}

// slowAppender adds the append latency of a real log.
type slowAppender struct {
	log   *logservice.Client
	delay time.Duration
}

// Append implements claim.Appender.
func (a slowAppender) Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error) {
	time.Sleep(a.delay)
	return a.log.Append(ctx, stream, body)
}

// runConcurrentCalls keeps o.Callers calls in flight for o.Duration.
func runConcurrentCalls(ctx context.Context, executor *claim.Executor, o BatchingOptions) BatchingResult {
	const (
		maxMicros         = int64(time.Minute / time.Microsecond)
		significantDigits = 3
	)
	var result BatchingResult
	var mu sync.Mutex
	latencies := hdrhistogram.New(1, maxMicros, significantDigits)
	incarnation := uuid.New()
	deadline := time.Now().Add(o.Duration)
	var wg sync.WaitGroup
	for range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(deadline) {
				start := time.Now()
				reply := executor.Run(ctx, claim.Request{
					Claim:   claim.Claim{Key: claim.Key{Team: "t", UUID: uuid.Must(uuid.NewV7())}, ID: uuid.New(), Incarnation: incarnation},
					Timeout: time.Second, Dispatcher: instantDispatcher{},
				})
				if reply.Outcome != claim.OutcomeDone {
					atomic.AddInt64(&result.Other, 1)
					continue
				}
				atomic.AddInt64(&result.Done, 1)
				mu.Lock()
				_ = latencies.RecordValue(time.Since(start).Microseconds())
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	result.CallsPerSecond = float64(result.Done) / o.Duration.Seconds()
	result.P50 = time.Duration(latencies.ValueAtQuantile(50)) * time.Microsecond
	result.P95 = time.Duration(latencies.ValueAtQuantile(95)) * time.Microsecond
	return result
}
