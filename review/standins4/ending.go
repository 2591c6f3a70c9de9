package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// endingBody is the body of the request that ends each server that runs it.
	endingBody = "ending prompt"
	// endsBefore is the number of ends after which the rule counts retries, and allowedRetries how many of them.
	endsBefore     = 3
	allowedRetries = 3
	playTime       = 60 * time.Second
	// returnInterval is the pause after which the request comes again.
	returnInterval = 2 * time.Second
	soundInterval  = 500 * time.Millisecond
	streamDeadline = 20 * time.Second
	serversPerZone = 4
	// budgetTime is until the retry budget has its reserve: after its first window.
	budgetTime = 12 * time.Second
)

// playEnding lets a request come again and again that crashes each server that runs it, after the first event of
// its answer.
func playEnding(o *options, r *record) (bool, error) {
	s, err := newScene(o, r, func(body string) bool { return body == endingBody && !o.Calm })
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.addServers(modelService, serversPerZone); err != nil {
		return false, err
	}
	if err := s.startInstances(len(zones), string(s.store.Address()), nil); err != nil {
		return false, err
	}
	if err := s.awaitServed(streamPath, "sound prompt", streamDeadline); err != nil {
		return false, err
	}
	time.Sleep(budgetTime)
	sendEnding(r, s.instances)
	return judgeEnding(r, s.servers), nil
}

// sendEnding sends the request again and again to the instances in turn, and sound ones beside it.
func sendEnding(r *record, instances []*instance) {
	until := time.Now().Add(playTime)
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			send(r, instances[i%len(instances)], streamPath, endingBody, apiKey, streamDeadline)
			time.Sleep(returnInterval)
		}
	})
	clients.Go(func() {
		sent, served := 0, 0
		for ; time.Now().Before(until); sent++ {
			if send(r, instances[sent%len(instances)], streamPath, fmt.Sprintf("%04d sound prompt", sent), apiKey, streamDeadline).served() {
				served++
			}
			time.Sleep(soundInterval)
		}
		r.add("sound streams: %d of %d served", served, sent)
	})
	clients.Wait()
}

// judgeEnding applies the rule: after the third end and the stable window the request may reach servers in three
// more retries.
func judgeEnding(r *record, group *serverGroup) bool {
	runs, ended := group.endingRuns()
	r.add("the request was run %d times, and %d servers have ended", len(runs), len(ended))
	if len(ended) < endsBefore {
		return false
	}
	from := ended[endsBefore-1].Add(stableWindow)
	late := 0
	for _, one := range runs {
		if one.at.After(from) {
			late++
		}
	}
	r.add("of these runs %d were sent later than %s after the third end; the rule allows %d", late, stableWindow, allowedRetries)
	return late > allowedRetries
}
