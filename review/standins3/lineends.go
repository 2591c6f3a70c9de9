package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// releaseGap is the time between two runners that are replaced.
	releaseGap = time.Second
	// clientCount is how many clients keep a connection open, and streamsOfClient how many streams each
	// asks for.
	clientCount     = 4
	streamsOfClient = 4
	// mostLost is how many requests of kept connections may end without an answer, by the rule.
	mostLost = 3
)

// playLineEnds replaces the runners of the model by those of a new version of their software, which ends the
// lines of its events with CRLF, as the media type text/event-stream allows.
func playLineEnds(p *play) (bool, error) {
	if err := p.startModel(); err != nil {
		return false, err
	}
	if err := p.addRunners(plainService, 2); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	stream := attempt{method: http.MethodPost, path: streamPath + "2f", key: apiKey, deadline: 20 * time.Second, stream: true}
	if err := p.awaitModel(stream); err != nil {
		return false, err
	}
	lineEnd := "\n"
	if p.trouble {
		lineEnd = "\r\n"
	}
	if err := p.fleet.release(modelService, "v2", lineEnd, releaseGap); err != nil {
		return false, err
	}
	for until := time.Now().Add(loadTimeout); !p.fleet.holdsModel(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(until) {
			return false, errUnserved
		}
	}
	p.record.note("all runners of the model are of version v2 and hold it")
	time.Sleep(2 * time.Second)
	return p.sendOnKept(stream) > mostLost, nil
}

// sendOnKept lets clients send streams on connections that they keep open, each after a request of the plain
// service, and returns how many were passed on to a runner, which answered whole, and ended with a closed
// connection without an answer.
func (p *play) sendOnKept(stream attempt) int {
	var mu sync.Mutex
	lost := 0
	var clients sync.WaitGroup
	for client := range clientCount {
		clients.Go(func() {
			for number := range streamsOfClient {
				one := stream
				one.body = fmt.Sprintf("client %d stream %d", client, number)
				if p.isLost(p.instances[client%len(p.instances)].front, one) {
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	clients.Wait()
	p.record.note("streams of kept connections that runners answered whole and that ended without an answer: %d of %d", lost, clientCount*streamsOfClient)
	return lost
}

// isLost sends a request of the plain service and then a stream on one connection.
func (p *play) isLost(to string, stream attempt) bool {
	connection, err := net.Dial("tcp4", to)
	if err != nil {
		return false
	}
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	first := sendOn(connection, reader, attempt{method: http.MethodGet, path: safePath + "2f", key: apiKey, deadline: 1500 * time.Millisecond})
	got := sendOn(connection, reader, stream)
	whole := p.fleet.wholeAnswers(got.id)
	p.record.note("kept connection, after status %d: %s; whole answers of runners: %d", first.status, got, whole)
	return first.status == http.StatusOK && got.closed && whole > 0
}
