package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/platform"
)

const (
	// forgetRounds is how often the store forgets its history and a runner leaves afterwards.
	forgetRounds = 5
	// settleTime is the time between both: stable-window-ms and more, so that the store is stable again and all
	// instances are in touch.
	settleTime = 4500 * time.Millisecond
	// drainBound is drain-ms, and drainSlack what the case allows beside it for the way of a request.
	drainBound = 2 * time.Second
	drainSlack = 500 * time.Millisecond
	// lingerTime is how long a runner goes on serving after its entry was removed: drain-ms and longer.
	lingerTime = 4 * time.Second
	// writeTime is the time in which a new runner has written its entry.
	writeTime = 100 * time.Millisecond
	// statusInterval is the time between two requests of the clients.
	statusInterval = 50 * time.Millisecond
)

// playForget lets the store forget the history of the list of runners, right after a new one has come, and later
// takes a runner away of those that never report that they drain: its entry is removed, and it goes on serving for a
// while. It does so in rounds until requests have come late.
func playForget(p *play) (bool, error) {
	if err := p.startPlain(); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	status := attempt{method: http.MethodGet, path: safePath + "2f", key: apiKey, deadline: 1500 * time.Millisecond}
	if err := p.awaitModel(status); err != nil {
		return false, err
	}
	stop, done := make(chan struct{}), make(chan int, 1)
	go func() { done <- p.sendStatus(stop, status) }()
	time.Sleep(settleTime) // all instances have run for longer than stable-window-ms
	late := 0
	for round := 1; round <= forgetRounds && late == 0; round++ {
		if err := p.fleet.add(plainService, ""); err != nil {
			return false, err
		}
		time.Sleep(writeTime)
		if p.trouble {
			p.store.Compact(platform.BackendsTopic)
			p.record.note("round %d: the store has forgotten the history of %s", round, platform.BackendsTopic)
		}
		time.Sleep(settleTime)
		late += p.takeAway()
	}
	close(stop)
	p.record.note("requests of clients: answered 200 %d", <-done)
	return late > 0, nil
}

// takeAway removes the entry of the runner that runs for longest, which leaves lingerTime later. It returns how many
// requests have reached it later than drain-ms after the store has acknowledged the removal.
func (p *play) takeAway() (late int) {
	leaving := slices.MinFunc(p.fleet.of(plainService), func(a, b *runner) int { return strings.Compare(a.id, b.id) })
	leaving.silence()
	p.store.Put(platform.BackendsTopic, leaving.id, nil)
	acknowledged := time.Now()
	p.record.note("the entry of runner %s is removed", leaving.id)
	time.Sleep(lingerTime)
	if leaving.end() {
		_ = leaving.server.Close()
	}
	reached := 0
	for _, r := range p.fleet.runsOf() {
		if r.runner != leaving.id || r.at.Before(acknowledged) {
			continue
		}
		reached++
		if after := r.at.Sub(acknowledged); after > drainBound+drainSlack {
			late++
			p.record.note("request %s reaches runner %s %d ms after its removal", r.request, leaving.id, after.Milliseconds())
		}
	}
	p.record.note("runner %s has left: %d requests have reached it since its removal, %d of them late", leaving.id, reached, late)
	return late
}

// sendStatus sends requests to all instances in turn until stop is closed. It returns how many were answered 200.
func (p *play) sendStatus(stop <-chan struct{}, status attempt) int {
	answered := 0
	for number := 0; ; number++ {
		select {
		case <-stop:
			return answered
		case <-time.After(statusInterval):
		}
		one := status
		one.path = fmt.Sprintf("%s%d", safePath, number)
		got := send(p.instances[number%len(p.instances)].front, one)
		if got.status == http.StatusOK {
			answered++
			continue
		}
		p.record.note("GET %s: %s", one.path, got)
	}
}
