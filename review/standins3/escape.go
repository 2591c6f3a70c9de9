package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// The disruption: for lossTime two of three runners lose the answers to some of the requests that they run.
	lossTime    = 5 * time.Second
	lossShare   = 0.4
	lossRunners = 2
	// bookingInterval is the time between two bookings of one kind.
	bookingInterval = 150 * time.Millisecond
)

// playEscape sends bookings, which may run once, with a slash in the name of the booked thing. The client writes it
// as %2F, so that the path does not begin with the prefix of a route for something else.
func playEscape(p *play) (bool, error) {
	if err := p.startPlain(); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	booking := attempt{method: http.MethodPost, key: apiKey, deadline: 1500 * time.Millisecond}
	booking.path = unsafePath + "first"
	if err := p.awaitModel(booking); err != nil {
		return false, err
	}
	p.putConfiguration(configurationWith(2, tenants, splitRoute))
	p.record.note("version 2 is acknowledged, with the safe route %sopen/ beside the unsafe one %s", unsafePath, unsafePath)
	time.Sleep(2 * configBound)
	if p.trouble {
		p.fleet.loses = p.lossesOf()
	}
	escaped, plain := p.book(booking, "open%%2F%d"), p.book(booking, "open-%d")
	wait(escaped, plain)
	return p.ranTwice("open%2F", <-escaped.ids)+p.ranTwice("open-", <-plain.ids) > 0, nil
}

// lossesOf returns which answers are lost, for lossTime from now.
func (p *play) lossesOf() func(s *runner, request string) bool {
	losing := map[string]bool{}
	for _, s := range p.fleet.of(plainService)[:lossRunners] {
		losing[s.id] = true
	}
	until := time.Now().Add(lossTime)
	var mu sync.Mutex
	lost, run := 0.0, 0.0
	return func(s *runner, _ string) bool {
		mu.Lock()
		defer mu.Unlock()
		if !losing[s.id] || time.Now().After(until) {
			return false
		}
		run++
		if lost+1 > lossShare*run {
			return false
		}
		lost++
		return true
	}
}

// bookings are clients that send bookings.
type bookings struct {
	done chan struct{}
	ids  chan []string // of the requests, once all are answered
}

func wait(all ...bookings) {
	for _, b := range all {
		<-b.done
	}
}

// book sends bookings of things with some name for lossTime, each once.
func (p *play) book(booking attempt, name string) bookings {
	b := bookings{done: make(chan struct{}), ids: make(chan []string, 1)}
	go func() {
		defer close(b.done)
		var clients sync.WaitGroup
		var mu sync.Mutex
		var ids []string
		for number, until := 0, time.Now().Add(lossTime); time.Now().Before(until); number++ {
			clients.Go(func() {
				one := booking
				one.path = unsafePath + fmt.Sprintf(name, number)
				got := send(p.instances[number%len(p.instances)].front, one)
				p.record.note("POST %s: %s", one.path, got)
				mu.Lock()
				defer mu.Unlock()
				ids = append(ids, got.id)
			})
			time.Sleep(bookingInterval)
		}
		clients.Wait()
		b.ids <- ids
	}()
	return b
}

// ranTwice returns how many of some requests have run more than once.
func (p *play) ranTwice(name string, ids []string) int {
	runs := map[string]int{}
	for _, r := range p.fleet.runsOf() {
		runs[r.request]++
	}
	twice := 0
	for _, id := range ids {
		if runs[id] > 1 {
			twice++
			p.record.note("booking %s has run %d times", id, runs[id])
		}
	}
	p.record.note("bookings of %s: %d, of which %d have run more than once", name, len(ids), twice)
	return twice
}
