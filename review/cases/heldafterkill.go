package main

import (
	"context"
	"net/http"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// heldTime is how long the request comes again before the processes are killed, and after each
	// time.
	heldTime = 16 * time.Second
	// herdKills is how often all processes are killed at once.
	herdKills = 2
	// backTime is the time from a kill to the next request: the machines are then up again, ready
	// and in touch.
	backTime = killedTime + stableWindow + 1500*time.Millisecond
)

// heldAfterKill sends a request that crashes each runner which begins to run it. It comes again
// after all processes of the system were killed at the same moment.
func heldAfterKill(record *journal, trouble bool) (broken bool, err error) {
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
			if s.inTouch(time.Now()) {
				seen.addRun(time.Now(), server, true)
			}
			return true
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
	comeAgain(ctx, s, heldTime, crashingInterval)
	for range herdKills {
		if trouble {
			record.printf("all processes are killed")
			for _, i := range s.instances {
				i.kill(true)
			}
		}
		time.Sleep(backTime)
		for _, i := range s.instances {
			if err := i.awaitReady(time.Now().Add(readyTimeout)); err != nil {
				return false, err
			}
		}
		comeAgain(ctx, s, heldTime, crashingInterval)
	}
	runs, late := seen.count()
	record.printf("sound requests %v", answers)
	record.printf("the crashing request reached runners %d times, %d of them later than %v after the third crash", runs, late, stableWindow)
	return late > retriesAllowed, nil
}

// inTouch reports whether all instances are in touch.
func (s *system) inTouch(now time.Time) bool {
	for _, i := range s.instances {
		if !i.inTouch(now) {
			return false
		}
	}
	return true
}

// comeAgain sends the crashing request at intervals, at one instance after the other.
func comeAgain(ctx context.Context, s *system, duration, interval time.Duration) {
	for started, n := time.Now(), 0; time.Since(started) < duration; n++ {
		to := s.instances[n%len(s.instances)]
		s.journal.printf("client of the crashing request at %s: %s", to.name, sendOne(ctx, to, crashingPath))
		time.Sleep(interval)
	}
}
