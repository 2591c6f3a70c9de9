package router

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// steadyInterval is the interval at which each router gets a request of each route.
	steadyInterval = 150 * time.Millisecond
	// The platform's promise for routers that are cut off from all servers: what they serve
	// of first tries, compared with the others, and the failures that it allows, which are
	// maxFailures and one in failuresOneIn.
	servedShare   = 2.0 / 3
	maxFailures   = 10
	failuresOneIn = 50
	// rejectionTime is the target-latency-ms of the routes: a rejection that comes at once
	// takes no longer.
	rejectionTime = 500 * time.Millisecond
	// directRequests is how many requests of each route in a row a router sends itself.
	directRequests = 3
)

// steadyRoutes are the routes of the requests of a steadyLoad.
var steadyRoutes = []string{"stream", "any", "once"}

// linkCut is a fault of the links of a router, from one moment to another.
type linkCut struct {
	router      string
	began, over time.Time // over is zero until the fault ends
}

// counts reports whether a request that was sent at a time must be served despite a cut.
func (c linkCut) counts(sent time.Time) bool {
	return !sent.Before(c.began.Add(stableWindow)) && (c.over.IsZero() || sent.Before(c.over))
}

// silence makes servers silent.
func (sr *scriptRunner) silence(which string, duration time.Duration) {
	layers := map[string]int{"first": 0, "middle": platformtest.Layers / 2, "last": platformtest.Layers - 1}
	layer, place := layers[which]
	switch {
	case place:
		held := deployment.LayerRange{First: layer, End: layer + 1}
		sr.silenceAll(duration, func(s *platformtest.Server) bool { return s.Layers().Contains(held) })
	case which == "plain":
		sr.silenceAll(duration, (*platformtest.Server).Plain)
	default:
		sr.server(which).Silence(duration)
	}
}

func (sr *scriptRunner) silenceAll(duration time.Duration, chosen func(*platformtest.Server) bool) {
	for _, server := range sr.cluster.Servers() {
		if chosen(server) {
			server.Silence(duration)
		}
	}
}

func (sr *scriptRunner) routersOf(zone string) []string {
	return slices.DeleteFunc(sr.routerNames(), func(name string) bool {
		return sr.routers[name].settings.Zone != deployment.Zone(zone)
	})
}

// setLinks sets the fault of the links between routers and servers.
func (sr *scriptRunner) setLinks(routers []string, name string, servers []string) {
	faults := map[string]platformtest.LinkFault{
		"sound": platformtest.LinkSound, "hang": platformtest.LinkHanging, "reset": platformtest.LinkReset,
		"closed": platformtest.LinkClosed, "closed-hang": platformtest.LinkClosedHanging,
	}
	fault, ok := faults[name]
	assert.Assert(sr.t, ok, "unknown fault %s", name)
	sorts := map[string]bool{"all": true, "plain": true, "model": true}
	which := "all"
	if len(servers) > 0 {
		which = servers[0]
	}
	for _, router := range routers {
		if sorts[which] {
			sr.recordCut(router, fault != platformtest.LinkSound)
		}
		for i, server := range sr.cluster.Servers() {
			chosen := map[string]bool{"all": true, "plain": server.Plain(), "model": !server.Plain(), strconv.Itoa(i): true}
			if chosen[which] {
				sr.cluster.Links().SetFault(deployment.InstanceID(router), server.Address(), fault)
			}
		}
	}
}

// recordCut records that a cut of a router from all servers begins, or that it is over.
func (sr *scriptRunner) recordCut(router string, begins bool) {
	now := time.Now()
	for i := range sr.cuts {
		if sr.cuts[i].router == router && sr.cuts[i].over.IsZero() {
			sr.cuts[i].over = now
		}
	}
	if begins {
		sr.cuts = append(sr.cuts, linkCut{router: router, began: now})
	}
}

// wasCut reports whether a router was cut off from all servers at some time.
func (sr *scriptRunner) wasCut(router string) bool {
	return slices.ContainsFunc(sr.cuts, func(c linkCut) bool { return c.router == router })
}

// steadyLoad sends requests to routers at a steady rate.
type steadyLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup
	timer   processTimer

	mu    sync.Mutex
	tries []firstTry
}

// firstTry is the outcome of a request that a client sent once.
type firstTry struct {
	router string
	sent   time.Time
	took   time.Duration
	result
}

// healed reports whether the request was served by waiting for the end of a cut that was near.
func (f firstTry) healed(c linkCut) bool {
	return f.err == nil && !c.over.IsZero() && f.sent.Add(rejectionTime).After(c.over)
}

// rejected reports whether the request was rejected with the time after which to come back.
func (f firstTry) rejected() bool {
	return f.status == http.StatusServiceUnavailable && f.retryAfter != ""
}

// startSteadyLoad sends requests to the named routers, to all of them if none is named.
func (sr *scriptRunner) startSteadyLoad(names []string) {
	load := &steadyLoad{stop: make(chan struct{})}
	sr.steady = load
	if len(names) == 0 {
		names = sr.routerNames()
	}
	timerStop := make(chan struct{})
	sr.t.Cleanup(func() { close(timerStop) })
	go load.timer.run(timerStop)
	load.clients.Go(func() {
		ticker := time.NewTicker(steadyInterval)
		defer ticker.Stop()
		for {
			select {
			case <-load.stop:
				return
			case <-ticker.C:
				sr.sendSteadyLoad(load, names)
			}
		}
	})
}

// sendSteadyLoad sends a request of each route to each router.
func (sr *scriptRunner) sendSteadyLoad(load *steadyLoad, routers []string) {
	for _, router := range routers {
		for _, route := range steadyRoutes {
			load.clients.Go(func() {
				sent := time.Now()
				got := sr.request(router, route)
				load.record(firstTry{router: router, sent: sent, took: time.Since(sent), result: got})
			})
		}
	}
}

func (l *steadyLoad) record(try firstTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, try)
}

// finish sends no more requests, and waits for the ends of those that were sent.
func (l *steadyLoad) finish() {
	close(l.stop)
	l.clients.Wait()
}

// tally counts first tries, and those that failed by what is the same about them.
type tally struct {
	sent, served int
	failures     map[string]int
}

func (t *tally) add(try firstTry) {
	t.sent++
	if try.err == nil {
		t.served++
		return
	}
	if t.failures == nil {
		t.failures = map[string]int{}
	}
	t.failures[try.description()]++
}

// description tells how a first try failed, in few words.
func (f firstTry) description() string {
	switch f.status {
	case 0:
		return f.route + " without a response"
	case http.StatusOK:
		return f.route + " cut"
	}
	return fmt.Sprintf("%s %d", f.route, f.status)
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d, failed: %v", t.served, t.sent, t.failures)
}

// checkServed checks the platform's promise for routers that are cut off from all servers.
func (sr *scriptRunner) checkServed() {
	sr.t.Helper()
	var cut, others tally
	for _, try := range sr.withoutLackOfTime() {
		switch {
		case !slices.ContainsFunc(sr.cuts, func(c linkCut) bool { return c.counts(try.sent) }):
		case sr.wasCut(try.router):
			cut.add(try)
		default:
			others.add(try)
		}
	}
	sr.t.Logf("the routers that were cut off served %v; the others %v", &cut, &others)
	assert.Assert(sr.t, cut.sent > 0 && others.sent > 0, "no request was sent late enough to be checked")
	assert.Check(sr.t, cut.share() >= servedShare*others.share(), "the routers that were cut off served %v; the others %v", &cut, &others)
	failed, allowed := cut.sent-cut.served, maxFailures+cut.sent/failuresOneIn
	assert.Check(sr.t, failed <= allowed, "%d of %d first tries failed at the routers that were cut off, %d are allowed: %v", failed, cut.sent, allowed, &cut)
}

// checkUnharmed checks that the routers that were not cut off served all requests.
func (sr *scriptRunner) checkUnharmed() {
	sr.t.Helper()
	var sound tally
	for _, try := range sr.withoutLackOfTime() {
		if !sr.wasCut(try.router) {
			sound.add(try)
		}
	}
	assert.Assert(sr.t, sound.sent > 0)
	assert.Check(sr.t, sound.served == sound.sent, "the routers that were not cut off served %v", &sound)
}

// checkEnded checks that each request got a response, and that a response with status 200 is
// whole and no request that is reported as not executed has run. Where nothing could serve
// them, streams may be cut at their deadline.
func (sr *scriptRunner) checkEnded(cutAtDeadline bool) {
	sr.t.Helper()
	var unended tally
	for _, try := range sr.withoutLackOfTime() {
		allowed := cutAtDeadline && try.route == "stream" && try.status == http.StatusOK && try.took >= sr.deadline
		if try.err != nil && !allowed && (try.status == 0 || try.status == http.StatusOK) {
			unended.add(try)
			sr.t.Logf("%s %s at %s: %v", try.route, try.id, try.router, try.err)
		}
		notExecuted := try.status == http.StatusServiceUnavailable || try.status == http.StatusRequestTimeout
		if try.route == "once" && notExecuted {
			assert.Check(sr.t, sr.cluster.RunCount(try.id) == 0, "once %s was reported as not executed but has run", try.id)
		}
	}
	assert.Check(sr.t, unended.sent == 0, "%d of %d requests ended without a whole response: %v", unended.sent, len(sr.steady.tries), unended.failures)
}

// checkRejectedAtOnce checks that requests were rejected with the time after which to come
// back and, but for the failures that the platform allows, within rejectionTime.
func (sr *scriptRunner) checkRejectedAtOnce() {
	sr.t.Helper()
	var rejected, others tally
	late := 0
	for _, try := range sr.steady.tries {
		switch {
		case !slices.ContainsFunc(sr.cuts, func(c linkCut) bool { return c.router == try.router && c.counts(try.sent) && !try.healed(c) }):
		case !try.rejected():
			others.add(try)
		default:
			rejected.add(try)
			if try.took > rejectionTime {
				late++
			}
		}
	}
	sr.t.Logf("%d requests were rejected, %d of them later than after %s; the others: %v", rejected.sent, late, rejectionTime, &others)
	assert.Check(sr.t, rejected.sent > 0)
	assert.Check(sr.t, others.sent == 0, "%d requests were not rejected with the time after which to come back: %v", others.sent, &others)
	allowed := maxFailures + rejected.sent/failuresOneIn
	assert.Check(sr.t, late <= allowed, "%d of %d requests were rejected later than after %s, %d are allowed", late, rejected.sent, rejectionTime, allowed)
}

// servesDirectly sends requests to a router, and reports whether all are served and reach a
// server from no other router.
func (sr *scriptRunner) servesDirectly(router string) bool {
	isOther := func(sender deployment.InstanceID) bool { return sender != deployment.InstanceID(router) }
	for range directRequests {
		for _, route := range steadyRoutes {
			got := sr.request(router, route)
			senders := sr.cluster.Senders(got.id)
			if got.err != nil || len(senders) == 0 || slices.ContainsFunc(senders, isOther) {
				return false
			}
		}
	}
	return true
}
