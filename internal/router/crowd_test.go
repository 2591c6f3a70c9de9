package router

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// harmfulPart is the part of prompts on which servers end.
	harmfulPart = "bad0bad0"
	// crowdInterval is the interval at which each router gets a sound stream, and
	// harmfulInterval the interval at which one of them gets a stream with harmfulPart.
	crowdInterval   = 120 * time.Millisecond
	harmfulInterval = 350 * time.Millisecond
	// clientRetryDelay is how long a client waits before it retries.
	clientRetryDelay = 200 * time.Millisecond
	// stableWindow is the platform's stable-window-ms, countedEnds the end from which it
	// runs, and maxLateArrivals how many requests with the part may arrive after it.
	stableWindow    = 3 * time.Second
	countedEnds     = 5
	maxLateArrivals = 3
)

// crowdResult is the outcome of one attempt of a client of the crowd.
type crowdResult struct {
	harmful bool
	attempt int // of the client, from 1
	sent    time.Time
	result
}

func (sr *scriptRunner) place(name string) platformtest.Place {
	places := map[string]platformtest.Place{
		"first": platformtest.FirstStage, "middle": platformtest.MiddleStage, "last": platformtest.LastStage,
	}
	place, ok := places[name]
	assert.Assert(sr.t, ok, "unknown place %s", name)
	return place
}

// runCrowd sends the requests of a crowd and waits for their ends. Half way it ends the
// servers that are named after a first word.
func (sr *scriptRunner) runCrowd(duration time.Duration, lost []string) {
	var clients sync.WaitGroup
	names := sr.routerNames()
	until := time.Now().Add(duration)
	clients.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			for _, name := range names {
				clients.Go(func() { sr.crowdClient(name, false, i) })
				if sr.plainCrowd {
					clients.Go(func() { sr.plainClient(name) })
				}
			}
			time.Sleep(crowdInterval)
		}
	})
	clients.Go(func() {
		for i := 0; sr.harmful && time.Now().Before(until); i++ {
			clients.Go(func() { sr.crowdClient(names[i%len(names)], true, i) })
			time.Sleep(harmfulInterval)
		}
	})
	time.Sleep(duration / 2)
	for _, server := range lost[min(1, len(lost)):] {
		go sr.server(server).Crash()
	}
	clients.Wait()
}

func (sr *scriptRunner) routerNames() []string {
	var names []string
	for name := range sr.routers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// crowdClient sends a stream, and retries it once as clients do. Sound ones share the first
// part with the others and, every second one, another part among themselves.
func (sr *scriptRunner) crowdClient(router string, harmful bool, number int) {
	parts := "aaaa0001:40," + uuid.NewString()[:8] + ":660"
	switch {
	case harmful:
		parts = "aaaa0001:40," + harmfulPart + ":100," + uuid.NewString()[:8] + ":560"
	case number%2 == 0:
		parts = "aaaa0001:40,5009d5009d:100," + uuid.NewString()[:8] + ":560"
	}
	for attempt := 1; attempt <= 2; attempt++ {
		sent := time.Now()
		got := crowdResult{harmful: harmful, attempt: attempt, sent: sent, result: sr.requestWithParts(router, "stream", parts)}
		sr.mu.Lock()
		sr.crowd = append(sr.crowd, got)
		sr.mu.Unlock()
		if got.err == nil {
			return
		}
		time.Sleep(clientRetryDelay)
	}
}

// checkHeld checks what the platform asks for after servers have ended on one part: no more
// than maxLateArrivals later than stableWindow after the fifth end, and sound streams that
// begin at the first attempt later than twice that after the fifth end or the last.
func (sr *scriptRunner) checkHeld() {
	sr.t.Helper()
	ends, arrivals := sr.cluster.Ends(), sr.cluster.HarmfulArrivals()
	sr.t.Logf("%d servers ended, %d requests with the part arrived", len(ends), len(arrivals))
	assert.Assert(sr.t, len(ends) > 0, "no server has ended on the part")
	counted := ends[min(len(ends), countedEnds)-1]
	late := 0
	for _, at := range arrivals {
		if len(ends) >= countedEnds && at.After(counted.Add(stableWindow)) {
			late++
		}
	}
	assert.Check(sr.t, late <= maxLateArrivals, "%d requests with the part arrived later than %s after the fifth end", late, stableWindow)
	checked := 0
	var failures []error
	for _, got := range sr.crowd {
		if got.harmful || got.attempt > 1 || got.sent.Before(counted.Add(2*stableWindow)) {
			continue
		}
		checked++
		if got.err != nil {
			failures = append(failures, got.err)
		}
	}
	assert.Check(sr.t, checked > 0, "no sound stream was sent late enough to be checked")
	assert.Check(sr.t, len(failures) == 0, "%d of %d sound streams failed at the first attempt, one with: %v", len(failures), checked, errors.Join(failures[:min(1, len(failures))]...))
}

// checkNoneHeld checks that no request was rejected for servers that ended.
func (sr *scriptRunner) checkNoneHeld() {
	sr.t.Helper()
	for _, got := range sr.crowd {
		if got.err != nil {
			assert.Check(sr.t, !strings.Contains(fmt.Sprint(got.err), "breaks-backend-servers"), "%s: %v", got.id, got.err)
		}
	}
}

// plainClient sends a request that may be repeated, without a retry.
func (sr *scriptRunner) plainClient(router string) {
	got := crowdResult{attempt: 1, sent: time.Now(), result: sr.request(router, "any")}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.crowd = append(sr.crowd, got)
}

// setLimit makes servers name a limit.
func (sr *scriptRunner) setLimit(which, limit string) {
	if limit == "none" {
		limit = ""
	}
	for _, server := range sr.cluster.Servers() {
		holdsFirst := server.Zone() == which && server.Layers().First == 0 && server.Layers().Len() > 0
		if !server.Down() && (holdsFirst || which == "plain" && server.Plain()) {
			server.SetLimit(limit)
		}
	}
}

func (sr *scriptRunner) checkLimits() {
	sr.t.Helper()
	for _, server := range sr.cluster.Servers() {
		assert.Check(sr.t, server.LimitViolation() == "", server.LimitViolation())
	}
}

func (sr *scriptRunner) checkCrowdWhole() {
	sr.t.Helper()
	failed := 0
	var last error
	for _, got := range sr.crowd {
		if got.route == "stream" && got.attempt == 1 && got.err != nil {
			failed, last = failed+1, got.err
		}
	}
	assert.Check(sr.t, failed == 0, "%d of %d failed, the last one: %v", failed, len(sr.crowd), last)
}

func (sr *scriptRunner) checkCrowdTold() {
	sr.t.Helper()
	for _, got := range sr.crowd {
		told := got.status == http.StatusServiceUnavailable && got.retryAfter != ""
		assert.Check(sr.t, got.err == nil || told, "%s %s: %v", got.route, got.id, got.err)
	}
}
