package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// cutTime is how long two instances are cut off, and cutInstances how many: 12 s and a share of 0.35 are the
	// largest in the users' site files.
	cutTime       = 12 * time.Second
	cutInstances  = 2
	instanceCount = 6
	// againInterval is the pause between two attempts at the same instance.
	againInterval  = 600 * time.Millisecond
	attemptsAtEach = 4
	unsafeDeadline = 2500 * time.Millisecond
	besideInterval = 50 * time.Millisecond
	// settleTime is until the instances know one another and the retry budget has its reserve.
	settleTime = 20 * time.Second
)

// playSeparated lets a request come again that crashes each server that runs it, first at the instances that reach
// one another and then at those that are cut off from all other instances, but not from the store or the servers.
func playSeparated(o *options, r *record) (bool, error) {
	s, err := newScene(o, r, func(body string) bool { return body == endingBody })
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.addServers(); err != nil {
		return false, err
	}
	between := &links{}
	address, closeFront := between.frontStore(s.store)
	defer closeFront()
	if err := s.startInstances(instanceCount, address, between); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	if err := s.awaitServed(unsafePath, "sound call", unsafeDeadline); err != nil {
		return false, err
	}
	connected, separate := s.instances[cutInstances:], s.instances[:cutInstances]
	if !o.Calm {
		for _, i := range separate {
			r.add("instance %s is cut off from all other instances", i.id)
			between.setCut(i.id, true)
		}
		time.AfterFunc(cutTime, func() {
			for _, i := range separate {
				between.setCut(i.id, false)
			}
			r.add("the cut ends")
		})
	}
	stop := s.sendBeside()
	sendSeparated(r, s.servers, connected, separate)
	stop()
	return judgeEnding(r, s.servers), nil
}

// sendBeside sends sound calls to the instances in turn until stop is called, which records what became of them.
func (s *scene) sendBeside() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		var calls sync.WaitGroup
		var mu sync.Mutex
		outcomes := map[int]int{} // by status
		for i := 0; ctx.Err() == nil; i++ {
			calls.Go(func() {
				a := send(s.record, s.instances[i%len(s.instances)], unsafePath, fmt.Sprintf("sound call %d", i), apiKey, unsafeDeadline)
				mu.Lock()
				outcomes[a.status]++
				mu.Unlock()
			})
			time.Sleep(besideInterval)
		}
		calls.Wait()
		s.record.add("sound calls beside it by the status of their answers: %v", outcomes)
	}()
	return func() {
		cancel()
		<-done
	}
}

// sendSeparated sends the request that ends servers, to each of the connected instances in turn, and then to each of
// the separate ones.
func sendSeparated(r *record, group *serverGroup, connected, separate []*instance) {
	for i := range attemptsAtEach {
		send(r, connected[i%len(connected)], unsafePath, endingBody, apiKey, unsafeDeadline)
		time.Sleep(againInterval)
	}
	_, ended := group.endingRuns()
	if len(ended) >= endsBefore {
		time.Sleep(time.Until(ended[endsBefore-1].Add(stableWindow)))
	}
	for _, to := range separate {
		for group.up() < endsBefore {
			time.Sleep(againInterval / 10)
		}
		for range attemptsAtEach {
			send(r, to, unsafePath, endingBody, apiKey, unsafeDeadline)
			time.Sleep(againInterval / 2)
		}
	}
}
