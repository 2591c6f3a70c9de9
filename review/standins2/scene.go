package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// The settings of a small deployment.
const (
	memoryLimit    = 284 << 20 // bytes
	maxDescriptors = 4100
	shutdownGrace  = 8 * time.Second
	retryRatio     = 0.2
	retryReserve   = 198
	retryWindow    = 10 * time.Second
)

const (
	startTimeout  = 20 * time.Second
	checkInterval = 20 * time.Millisecond
)

// scene is a small deployment: a store, backend servers and instances.
type scene struct {
	trouble bool
	broken  bool
	record  *record
	// directory holds the settings files and the logs of the instances.
	directory string
	store     *platformtest.Store
	cluster   *platformtest.Cluster
	instances []*instance
}

func newScene(directory string, trouble bool) (*scene, error) {
	record, err := newRecord(filepath.Join(directory, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	store := platformtest.NewStore()
	s := &scene{trouble: trouble, record: record, directory: temporary, store: store, cluster: platformtest.NewCluster(store)}
	record.printf("disruption: %t", trouble)
	return s, nil
}

// close ends all processes and stand-ins.
func (s *scene) close() {
	for _, i := range s.instances {
		i.end()
	}
	s.cluster.Close()
	s.store.Close()
	_ = os.RemoveAll(s.directory) // it is temporary
	s.record.close()
}

// configure writes a configuration to the store.
func (s *scene) configure(c platformtest.Configuration) {
	s.store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, c.JSON())
}

// startInstances starts one instance in each of some zones, and waits until all are ready.
func (s *scene) startInstances(zones ...string) error {
	var settings []deployment.Settings
	var seeds []deployment.Address
	for i, zone := range zones {
		ports, err := freePorts(4)
		if err != nil {
			return err
		}
		one := deployment.Settings{
			Instance: deployment.InstanceID(fmt.Sprintf("front-%d", i+1)), Zone: deployment.Zone(zone), IP: loopback,
			FrontAddress: ports[0], ReadyAddress: ports[1], PeerAddress: ports[2], StoreAddress: s.store.Address(),
			MemoryLimit: memoryLimit, MaxDescriptors: maxDescriptors, ShutdownGrace: shutdownGrace,
			RetryRatio: retryRatio, RetryReserve: retryReserve, RetryWindow: retryWindow,
		}
		seeds = append(seeds, ports[2])
		settings = append(settings, one)
		s.instances = append(s.instances, &instance{scene: s, metrics: ports[3]})
	}
	for i := range settings {
		settings[i].Seeds = seeds
		if err := s.instances[i].start(settings[i]); err != nil {
			return err
		}
	}
	return s.await("all instances are ready", startTimeout, func() bool {
		for _, i := range s.instances {
			if !i.ready() {
				return false
			}
		}
		return true
	})
}

// await waits for a condition. The error says that it was not met in time.
func (s *scene) await(what string, timeout time.Duration, met func() bool) error {
	for started := time.Now(); !met(); time.Sleep(checkInterval) {
		if time.Since(started) > timeout {
			return fmt.Errorf("not met within %s: %s", timeout, what)
		}
	}
	s.record.printf("%s", what)
	return nil
}

const loopback = "127.0.0.1"

// freePorts returns addresses with ports that were free just now.
func freePorts(count int) ([]deployment.Address, error) {
	var addresses []deployment.Address
	for range count {
		listener, err := net.Listen("tcp4", loopback+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, deployment.Address(listener.Addr().String()))
	}
	return addresses, nil
}
