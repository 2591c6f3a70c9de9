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

// BatchingOptions describes an experiment with calls that run at most once.
type BatchingOptions struct {
	// Callers is the number of calls under way at once.
	Callers  int
	Duration time.Duration
	// AppendsPerSecond is the limit of the log and of the batcher.
	AppendsPerSecond float64
	// AppendDelay is how long the log takes for an append.
	AppendDelay time.Duration
}

// BatchingResult is what one way of appending reached.
type BatchingResult struct {
	Way            string
	CallsPerSecond float64
	AppendsPerCall float64
	P50            time.Duration
	P95            time.Duration
	Done           int64
	Other          int64
}

// BatchingReport compares one claim for each append with many.
type BatchingReport struct {
	Options BatchingOptions
	Results []BatchingResult
}

// WriteText writes the report for a reader.
func (r *BatchingReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "callers %d\tlog limit %.0f appends/s\tappend %s\n",
		r.Options.Callers, r.Options.AppendsPerSecond, r.Options.AppendDelay)
	for _, b := range r.Results {
		_, _ = fmt.Fprintf(table, "%s\t%.0f calls/s\t%.3f appends/call\tp50 %s\tp95 %s\tdone %d\tother %d\n",
			b.Way, b.CallsPerSecond, b.AppendsPerCall, b.P50, b.P95, b.Done, b.Other)
	}
	return table.Flush()
}

type instantService struct{}

// Dispatch implements claim.Dispatcher.
func (instantService) Dispatch(context.Context) claim.DispatchResult {
	return claim.ResponseReceived{Response: claim.Response{Status: http.StatusOK, Body: []byte(`{"number":1}`)}}
}

// Batching runs calls against a log, once with one claim for each append and
// once with many.
func Batching(ctx context.Context, o BatchingOptions) (*BatchingReport, error) {
	report := &BatchingReport{Options: o}
	for _, single := range []bool{true, false} {
		result, err := batching(ctx, o, single)
		if err != nil {
			return nil, err
		}
		report.Results = append(report.Results, result)
	}
	return report, nil
}

func batching(ctx context.Context, o BatchingOptions, single bool) (BatchingResult, error) {
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
	batcher.SetUnbatched(single)
	tracker := claim.NewExecutor(batcher, func(context.Context, *claim.Executor) error { return nil })
	go batcher.Run(ctx)
	go logservice.Tail(ctx, log, claim.Stream, tracker)
	result := callAtOnce(ctx, tracker, o)
	stats := batcher.Stats()
	result.Way = "many claims an append"
	if single {
		result.Way = "one claim an append"
	}
	result.AppendsPerCall = float64(stats.Appends) / float64(max(result.Done+result.Other, 1))
	return result, nil
}

// slowAppender adds the time that a real log takes.
type slowAppender struct {
	log   *logservice.Client
	delay time.Duration
}

// Append implements claim.Appender.
func (a slowAppender) Append(ctx context.Context, stream logservice.StreamName, body []byte) (logservice.Offset, error) {
	time.Sleep(a.delay)
	return a.log.Append(ctx, stream, body)
}

// callAtOnce keeps a fixed number of calls under way.
func callAtOnce(ctx context.Context, tracker *claim.Executor, o BatchingOptions) BatchingResult {
	const (
		highestMicros = int64(time.Minute / time.Microsecond)
		digits        = 3
	)
	var result BatchingResult
	var mu sync.Mutex
	times := hdrhistogram.New(1, highestMicros, digits)
	incarnation := uuid.New()
	deadline := time.Now().Add(o.Duration)
	var running sync.WaitGroup
	for range o.Callers {
		running.Add(1)
		go func() {
			defer running.Done()
			for time.Now().Before(deadline) {
				began := time.Now()
				reply := tracker.Run(ctx, claim.Request{
					Claim:   claim.Claim{Key: claim.Key{Team: "t", UUID: uuid.Must(uuid.NewV7())}, ID: uuid.New(), Incarnation: incarnation},
					Timeout: time.Second, Dispatcher: instantService{},
				})
				if reply.Answer != claim.OutcomeDone {
					atomic.AddInt64(&result.Other, 1)
					continue
				}
				atomic.AddInt64(&result.Done, 1)
				mu.Lock()
				_ = times.RecordValue(time.Since(began).Microseconds())
				mu.Unlock()
			}
		}()
	}
	running.Wait()
	result.CallsPerSecond = float64(result.Done) / o.Duration.Seconds()
	result.P50 = time.Duration(times.ValueAtQuantile(50)) * time.Microsecond
	result.P95 = time.Duration(times.ValueAtQuantile(95)) * time.Microsecond
	return result
}
