package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// foreignDelay is how long after the runners the other writer writes, and foreignTime how long
	// clients send requests.
	foreignDelay = 500 * time.Millisecond
	foreignTime  = 30 * time.Second
	// minRequests is the least number of requests for a verdict.
	minRequests = 100
)

// foreignEntries puts an entry of another writer into the list of backend servers for the address of
// each runner. They name a service that no configuration has, and must change nothing.
func foreignEntries(record *journal, trouble bool) (broken bool, err error) {
	s, err := newSystem(record, platformtest.ConfigurationJSON(1, true))
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, zone := range append(zones, zones[0]) {
		if _, err := s.addPlainServer(zone); err != nil {
			return false, err
		}
	}
	time.Sleep(foreignDelay)
	if trouble {
		if err := putForeignEntries(s); err != nil {
			return false, err
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
	time.Sleep(foreignTime)
	requests, served := answers.total()
	record.printf("%d requests, %d served: %v", requests, served, answers)
	if requests < minRequests {
		return false, errNotReady
	}
	return served == 0, nil
}

func putForeignEntries(s *system) error {
	for n, p := range s.plainServers {
		entry, err := json.Marshal(map[string]any{
			"service": "of-another-deployment", "address": p.address, "zone": p.zone, "version": "v1", "slots": plainSlots,
			"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		if err != nil {
			return fmt.Errorf("entry of another writer: %w", err)
		}
		key := fmt.Sprintf("of-another-writer-%d", n+1)
		s.store.Put(platform.BackendsTopic, key, entry)
		s.journal.printf("another writer puts servers/%s: %s", key, entry)
	}
	return nil
}
