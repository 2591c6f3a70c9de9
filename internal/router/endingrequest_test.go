package router

import (
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// endsToKnow is the number of ends after which a request is known to end servers, and settledAfter
	// the platform's stable-window-ms, later than which only lateRunsAllowed runs may begin.
	endsToKnow      = 3
	settledAfter    = 3 * time.Second
	lateRunsAllowed = 3
)

// repeatEndingRequest sends a request on which servers of the plain service end, a number of times at
// once at each router, and waits for the responses.
func (sr *scriptRunner) repeatEndingRequest(copies int) {
	var sent sync.WaitGroup
	for _, router := range sr.routerNames() {
		for range copies {
			sent.Go(func() { sr.request(router, "any/ends") })
		}
	}
	sent.Wait()
}

// sendEndingRequest sends that request at intervals, at one router after the other, and waits for the
// responses.
func (sr *scriptRunner) sendEndingRequest(interval time.Duration, times int) {
	var sent sync.WaitGroup
	routers := sr.routerNames()
	for i := range times {
		sent.Go(func() { sr.request(routers[i%len(routers)], "any/ends") })
		time.Sleep(interval)
	}
	sent.Wait()
}

// checkFewEnds checks that few runs of the request that ends servers began after it was known.
func (sr *scriptRunner) checkFewEnds() {
	runs, ends := sr.cluster.EndingRuns()
	assert.Assert(sr.t, len(ends) >= endsToKnow, "only %d servers ended", len(ends))
	late := 0
	for _, at := range runs {
		if at.Sub(ends[endsToKnow-1]) > settledAfter {
			late++
		}
	}
	assert.Assert(sr.t, late <= lateRunsAllowed, "%d of %d runs began more than %s after the third end, %d are allowed", late, len(runs), settledAfter, lateRunsAllowed)
}
