package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	crashingPath = "/any/crashing"
	// crashingTime is how long the request comes again, and crashingInterval how often.
	crashingTime     = 30 * time.Second
	crashingInterval = 2 * time.Second
	// crashingClients have the request, with the same path, caller and body. crashingRepeats is how
	// many more times each sends it at once during abuseTime, which comes twice, abusePause apart.
	// These are the largest doses of the site file.
	crashingClients = 2
	crashingRepeats = 3
	abuseTime       = 5500 * time.Millisecond
	abusePause      = 500 * time.Millisecond
	// stableWindow is bounds.stable-window-ms, and retriesAllowed how many retries may reach
	// runners later than that after the third crash.
	stableWindow   = 3 * time.Second
	retriesAllowed = 3
	crashesToKnow  = 3
)

// crashes are the runs of the crashing request, and the servers that it has crashed.
type crashes struct {
	mu      sync.Mutex
	runs    []time.Time
	crashed map[string]bool // by id, which names one start of a server
	knownAt time.Time       // when the third server crashed, zero before
}

// addRun records a run, and whether it crashes the server.
func (c *crashes) addRun(now time.Time, server string, crashes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = append(c.runs, now)
	if !crashes {
		return
	}
	c.crashed[server] = true
	if len(c.crashed) >= crashesToKnow && c.knownAt.IsZero() {
		c.knownAt = now
	}
}

// count returns the number of runs, and how many of them began later than stableWindow after the
// third crash.
func (c *crashes) count() (runs, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.runs {
		if !c.knownAt.IsZero() && at.Sub(c.knownAt) > stableWindow {
			late++
		}
	}
	return len(c.runs), late
}

// crashingRequest sends a request that crashes each runner which begins to run it. It comes again,
// and its client repeats it at once and often.
func crashingRequest(record *journal, trouble bool) (broken bool, err error) {
	s, err := newSystem(record, platformtest.ConfigurationJSON(1, true))
	if err != nil {
		return false, err
	}
	defer s.close()
	seen := crashes{crashed: map[string]bool{}}
	for _, zone := range append(zones, zones[0]) {
		p, err := s.addPlainServer(zone)
		if err != nil {
			return false, err
		}
		p.onRun = func(r *http.Request, server string) bool {
			if !strings.HasPrefix(r.URL.Path, crashingPath) {
				return false
			}
			record.printf("server %s begins to run the crashing request", server)
			seen.addRun(time.Now(), server, trouble)
			return trouble
		}
	}
	if err := s.addInstances(2); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := newTally()
	for _, i := range s.instances {
		go sendSound(ctx, i, answers)
	}
	time.Sleep(settleTime)
	record.printf("before: sound requests %v", answers)
	for started, n := time.Now(), 0; time.Since(started) < crashingTime; n++ {
		for repeat := range crashingClients * (1 + repeatsAt(time.Since(started))) {
			to := s.instances[(n+repeat)%len(s.instances)]
			go func() {
				record.printf("client of the crashing request at %s: %s", to.name, sendOne(ctx, to, crashingPath))
			}()
		}
		time.Sleep(crashingInterval)
	}
	runs, late := seen.count()
	record.printf("after: sound requests %v", answers)
	record.printf("the crashing request reached runners %d times, %d of them later than %v after the third crash", runs, late, stableWindow)
	return late > retriesAllowed, nil
}

// repeatsAt returns how many more times the client sends the request at once.
func repeatsAt(elapsed time.Duration) int {
	second := abuseTime + abusePause
	if elapsed < abuseTime || elapsed >= second && elapsed < second+abuseTime {
		return crashingRepeats
	}
	return 0
}

// sendSound sends sound requests to an instance, one after the other, until ctx ends.
func sendSound(ctx context.Context, to *instance, answers *tally) {
	for ctx.Err() == nil {
		answers.add(sendOne(ctx, to, statusPath))
		answers.add(sendOne(ctx, to, "/once/book"))
		time.Sleep(requestInterval)
	}
}
