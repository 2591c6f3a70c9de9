package main

import (
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	// killDelay is when a server process is killed, after it has begun to answer.
	killDelay = 50 * time.Millisecond
	// killedAnswers is the number of answers of each service in which a server is killed.
	killedAnswers  = 6
	streamDeadline = 20 * time.Second
)

// playTruncated kills server processes in the middle of answers without a length.
func playTruncated(o *options, r *record) (bool, error) {
	s, err := newScene(o, r, func(string) bool { return false })
	if err != nil {
		return false, err
	}
	defer s.close()
	began := make(chan *serverProcess, 1000)
	for _, zone := range zones {
		for _, service := range []string{plainService, modelService, modelService} {
			if err := startServer(s, service, zone, began); err != nil {
				return false, err
			}
		}
	}
	if err := s.startInstances(len(zones), string(s.store.Address()), nil); err != nil {
		return false, err
	}
	broken := 0
	for _, service := range []string{plainService, modelService} {
		path := unsafePath
		if service == modelService {
			path = streamPath
		}
		if err := s.awaitServed(path, keptBody, streamDeadline); err != nil {
			return false, err
		}
		for i := range killedAnswers {
			truncated, err := s.killWhileAnswering(s.instances[i%len(s.instances)], service, path, began)
			if err != nil {
				return false, err
			}
			if truncated {
				broken++
			}
		}
	}
	r.add("%d of %d answers looked complete with a part of the server's body", broken, 2*killedAnswers)
	return broken > 0, nil
}

// killWhileAnswering sends a request, and kills the server that answers it. It reports whether the client has got a
// part of the answer as a whole one.
func (s *scene) killWhileAnswering(to *instance, service, path string, began chan *serverProcess) (bool, error) {
	for len(began) > 0 {
		<-began
	}
	answers := make(chan answer, 1)
	go func() { answers <- send(s.record, to, path, keptBody, apiKey, streamDeadline) }()
	var server *serverProcess
	select {
	case server = <-began:
	case <-time.After(readyTimeout):
		return false, errors.New("no server has begun to answer")
	}
	if !s.options.Calm {
		time.Sleep(killDelay)
		if err := server.kill(); err != nil {
			return false, err
		}
	}
	a := <-answers
	truncated := a.served() && a.body != wholeText(service)
	if truncated {
		s.record.add("the client has a complete success of %d bytes, the server's answer has %d", len(a.body), len(wholeText(service)))
		connection, err := net.Dial("tcp4", server.address)
		s.record.add("a connection to the server now: %v", err)
		if err == nil {
			_ = connection.Close() // nothing was sent
		}
	}
	if s.options.Calm {
		return truncated, nil
	}
	time.Sleep(downTime)
	if err := server.start(); err != nil {
		return false, fmt.Errorf("start again: %w", err)
	}
	time.Sleep(retryInterval)
	return truncated, nil
}
