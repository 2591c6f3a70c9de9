package main

import (
	"fmt"
	"os"
	"time"

	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// zones are the availability zones of each case.
var zones = []string{"bern", "zurich", "basel"}

// retryInterval is the pause between two attempts of a client that waits for the deployment.
const retryInterval = 500 * time.Millisecond

// scene is a small deployment: a store with a configuration, servers in each zone and instances of the router.
type scene struct {
	options   *options
	record    *record
	folder    string
	store     *platformtest.Store
	servers   *serverGroup
	instances []*instance
	stops     []func()
}

// newScene starts a store with a first configuration. ends reports whether a request ends each server that runs it.
func newScene(o *options, r *record, ends func(body string) bool) (*scene, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	store := platformtest.NewStore()
	s := &scene{
		options: o, record: r, folder: folder, store: store,
		servers: &serverGroup{store: store, record: r, ends: ends},
		stops:   []func(){store.Close, func() { _ = os.RemoveAll(folder) }},
	}
	return s, putConfiguration(store, firstVersion, firstTenants())
}

// close ends the instances and the store.
func (s *scene) close() {
	killAll()
	for _, stop := range s.stops {
		stop()
	}
}

// addServers starts one server of the plain service in each zone.
func (s *scene) addServers() error {
	for _, zone := range zones {
		if err := s.servers.add(zone); err != nil {
			return err
		}
	}
	return nil
}

// startInstances starts instances in the zones in turn, which reach the store at an address, and waits until they
// are ready. between may be nil.
func (s *scene) startInstances(count int, store string, between *links) error {
	for i := range count {
		zone := zones[i%len(zones)]
		started, err := startInstance(s.options, s.folder, fmt.Sprintf("front-%s-%d", zone, 1+i/len(zones)), zone, store)
		if err != nil {
			return err
		}
		s.instances = append(s.instances, started)
		if between == nil {
			continue
		}
		if err := between.add(started); err != nil {
			return err
		}
	}
	for _, started := range s.instances {
		if err := started.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// awaitServed waits until each instance serves a request, for at most readyTimeout each.
func (s *scene) awaitServed(path, body string, deadline time.Duration) error {
	for _, to := range s.instances {
		for until := time.Now().Add(readyTimeout); !send(s.record, to, path, body, apiKey, deadline).served(); time.Sleep(retryInterval) {
			if time.Now().After(until) {
				return fmt.Errorf("instance %s does not serve", to.id)
			}
		}
	}
	return nil
}
