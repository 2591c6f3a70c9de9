package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// sameIDTime is how long the request comes again, and sameIDInterval how often.
	sameIDTime     = 60 * time.Second
	sameIDInterval = 500 * time.Millisecond
)

// startsUnderSameID sends a request that crashes each runner which begins to run it. It comes again.
// Runners start again under the id that they had; without the disruption, under a new one.
func startsUnderSameID(record *journal, trouble bool) (broken bool, err error) {
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
		p.setHandling(trouble, func(r *http.Request, server string) bool {
			if !strings.HasPrefix(r.URL.Path, crashingPath) {
				return false
			}
			record.printf("server %s begins to run the crashing request", server)
			seen.addRun(time.Now(), fmt.Sprint(server, " ", time.Now().UnixNano()), true)
			return true
		})
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
	comeAgain(ctx, s, sameIDTime, sameIDInterval)
	runs, late := seen.count()
	record.printf("sound requests %v", answers)
	record.printf("the crashing request reached runners %d times, %d of them later than %v after the third crash", runs, late, stableWindow)
	return late > retriesAllowed, nil
}
