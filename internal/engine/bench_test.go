package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/standin"
)

const (
	benchLayers = 12
	benchTokens = 64
	benchHops   = 3
)

// newBenchPool starts engines without artificial delays in this process and returns
// a pool with these engines as its fleet, and a path through them.
func newBenchPool() (*Pool, Path) {
	pool := NewPool("zone-a")
	var path Path
	var list []instancelist.Instance
	for i := range benchHops {
		r := runner.LayerRange{First: i * benchLayers / benchHops, End: (i + 1) * benchLayers / benchHops}
		id := runner.ID(fmt.Sprint("e", i))
		server := httptest.NewServer(standin.NewEngine(standin.EngineConfig{
			ID: id, Model: "m", Version: "v1", Layers: benchLayers, Range: r,
		}).Handler())
		address := server.Listener.Addr().String()
		path = append(path, Hop{Runner: id, Address: address, Range: r})
		list = append(list, instancelist.Instance{ID: instancelist.ID(id), Zone: "zone-a", Address: address})
	}
	pool.WithFleet(func(f *Fleet) {
		f.SetRunners(list)
		for _, hop := range path {
			f.RecordReport(time.Now(), hop.Runner, Report{Model: "m", Version: "v1", Layers: benchLayers, Range: hop.Range})
		}
	})
	return pool, path
}

// processCPUTime returns the CPU time used by this process, including the engines.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHop compares two transports between hops: one HTTP request per step, and
// one stream per runner. Each operation generates one answer of benchTokens tokens
// over benchHops hops.
func BenchmarkHop(b *testing.B) {
	for _, sessions := range []int{1, 64} {
		b.Run(fmt.Sprintf("one-request-per-hop/sessions-%d", sessions), func(b *testing.B) {
			_, path := newBenchPool()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
			measureHops(b, sessions, func() error { return generateByRequests(client, path) })
		})
		b.Run(fmt.Sprintf("one-stream-per-runner/sessions-%d", sessions), func(b *testing.B) {
			pool, _ := newBenchPool()
			measureHops(b, sessions, func() error { return generateByStreams(pool) })
		})
	}
}

func measureHops(b *testing.B, sessions int, generate func() error) {
	b.Helper()
	before := processCPUTime()
	b.ResetTimer()
	var wg sync.WaitGroup
	for range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range max(1, b.N/sessions) {
				if err := generate(); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	hops := float64(max(1, b.N/sessions) * sessions * benchTokens * benchHops)
	b.ReportMetric(float64(processCPUTime()-before)/hops, "cpu-ns/hop")
	b.ReportMetric(hops/b.Elapsed().Seconds(), "hops/s")
}

var benchPrompt = hashmodel.Tokenize("which flux suits a steel hinge")

func generateByStreams(pool *Pool) error {
	return pool.Generate(context.Background(), Request{
		Model: "m", Version: "v1", Layers: benchLayers, Prompt: benchPrompt, MaxTokens: benchTokens,
	}, func(hashmodel.Token) error { return nil })
}

func generateByRequests(client *http.Client, path Path) error {
	session := uuid.New()
	tokens := benchPrompt
	position := runner.Position(0)
	for range benchTokens {
		step := runner.Step{Session: session, Epoch: 1, Position: position, Model: "m", Version: "v1", Tokens: tokens}
		count := step.Count()
		for _, hop := range path {
			step.Range = hop.Range
			reply, err := stepByRequest(client, hop, step)
			if err != nil {
				return err
			}
			step.Tokens, step.Hidden = nil, reply.Hidden
			tokens = []hashmodel.Token{reply.Token}
		}
		position += runner.Position(count)
	}
	return nil
}

func stepByRequest(client *http.Client, hop Hop, step runner.Step) (runner.Reply, error) {
	data, err := runner.EncodeFrame(runner.Frame{Steps: []runner.Step{step}})
	if err != nil {
		return runner.Reply{}, err
	}
	response, err := client.Post("http://"+hop.Address+"/v1/step", "application/cbor", bytes.NewReader(data))
	if err != nil {
		return runner.Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return runner.Reply{}, err
	}
	frame, err := runner.DecodeFrame(body)
	if err != nil {
		return runner.Reply{}, err
	}
	if len(frame.Replies) != 1 || frame.Replies[0].Status != runner.StepOK {
		return runner.Reply{}, fmt.Errorf("unexpected reply %+v", frame)
	}
	return frame.Replies[0], nil
}
