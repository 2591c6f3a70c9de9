package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// namedLimit is the requests a second that a backend server says it takes: far more than there are.
	// limitedServers is how many of the three name one, a share of 0.7 as in the day of issue 22.
	limitedServers = 2
	namedLimit     = "10000000"
	// calmTime is how long requests are sent before the server names its limit, and namedTime after.
	calmTime   = 5 * time.Second
	namedTime  = 20 * time.Second
	callers    = 12
	callPause  = 60 * time.Millisecond
	callExpiry = 2500 * time.Millisecond
)

// playLimit lets two of three backend servers of the plain service name the requests a second that they take, a
// large number, and counts the processes that end by themselves and the requests that get no answer.
func playLimit(s *scene) error {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var servers []*platformtest.Server
	for _, zone := range zones {
		servers = append(servers, s.cluster.AddPlainServer(zone))
	}
	s.configure(platformtest.DefaultConfiguration(1, true))
	if err := s.startInstances(zones...); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var count counts
	var calls sync.WaitGroup
	for n := range callers {
		calls.Go(func() { call(ctx, s, s.instances[n%len(s.instances)], n, &count) })
	}
	time.Sleep(calmTime)
	s.record.printf("until now: %s", count.String())
	if s.trouble {
		for _, server := range servers[:limitedServers] {
			server.SetLimit(namedLimit)
			s.record.printf("the backend server at %s in %s names Server-Limit: %s in its answers", server.Address(), server.Zone(), namedLimit)
		}
	}
	time.Sleep(namedTime)
	cancel()
	calls.Wait()
	s.record.printf("in all: %s", count.String())
	s.broken = s.endsTooOften()
	return nil
}

// The rule counts machines on which processes end by themselves three times, from two machines on.
const (
	endsOfMachine = 3
	minMachines   = 2
)

// endsTooOften reports whether processes have ended by themselves too often, and records how often.
func (s *scene) endsTooOften() bool {
	machines := 0
	for _, i := range s.instances {
		overLimit, other := i.ends()
		s.record.printf("%s: %d ends with its memory over the limit, %d others, at most %d MiB", i.settings.Instance, overLimit, other, i.peakMemory()>>20)
		if overLimit+other >= endsOfMachine {
			machines++
		}
	}
	return machines >= minMachines
}

// counts are the requests by outcome. It is safe for concurrent use.
type counts struct {
	mu       sync.Mutex
	outcomes map[string]int
}

func (c *counts) add(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.outcomes = map[string]int{}
	}
	c.outcomes[outcome]++
}

// String returns the counts in one line.
func (c *counts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.TrimPrefix(fmt.Sprint(c.outcomes), "map")
}

// call sends requests that may run once at most to an instance, one after the other over a kept connection,
// until ctx ends.
func call(ctx context.Context, s *scene, to *instance, caller int, count *counts) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: callExpiry + time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("call-%d-%d", caller, n)
		outcome := callOnce(client, to, id)
		count.add(outcome)
		if outcome != "200" {
			s.record.printf("%s to %s: %s, has run %d times", id, to.settings.Instance, outcome, s.cluster.RunCount(id))
		}
		time.Sleep(callPause)
	}
}

// callOnce sends one request and returns what became of it.
func callOnce(client *http.Client, to *instance, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), callExpiry)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(to.settings.FrontAddress)+"/once/2f", strings.NewReader(id))
	if err != nil {
		return "invalid request"
	}
	request.Host = platformtest.Host
	request.Header.Set(platform.HeaderRequestID, id)
	request.Header.Set(platform.HeaderAPIKey, platformtest.APIKey)
	request.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(callExpiry))
	response, err := client.Do(request)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.ReadAll(response.Body); err != nil {
		return "broken answer"
	}
	return fmt.Sprint(response.StatusCode)
}
