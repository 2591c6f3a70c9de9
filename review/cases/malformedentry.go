package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	malformedInstances = 2  // in each zone
	modelServers       = 13 // in each zone
	// malformedTime is how long the entry of another writer stands.
	malformedTime   = 30 * time.Second
	settleTime      = 8 * time.Second
	requestInterval = 200 * time.Millisecond
	requestTimeout  = 10 * time.Second
	statusPath      = "/any/status" // of a safe request
)

// malformedEntry puts an entry of another writer, with fields missing, into the list of backend
// servers. It names no runner to use and must change nothing.
func malformedEntry(record *journal, trouble bool) (broken bool, err error) {
	s, err := newSystem(record, platformtest.ConfigurationJSON(1, true))
	if err != nil {
		return false, err
	}
	defer s.close()
	for _, zone := range zones {
		for range modelServers {
			s.cluster.AddModelServer(zone, "l4")
		}
		s.cluster.AddPlainServer(zone)
	}
	if err := s.addInstances(malformedInstances); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := newTally()
	for _, i := range s.instances {
		go sendRequests(ctx, i, record, answers)
	}
	time.Sleep(settleTime)
	before := ownEnds(s)
	record.printf("before: answers %v, own ends %v", answers, before)
	if trouble {
		if err := putMalformedEntries(s); err != nil {
			return false, err
		}
	}
	time.Sleep(malformedTime)
	after := ownEnds(s)
	record.printf("after: answers %v, own ends %v", answers, after)
	record.printf("violations at the stand-ins: %v", s.cluster.Violations())
	return endedTooOften(s), nil
}

// putMalformedEntries puts an entry into each zone that lacks version, slots, cold-remaining-ms,
// sequence, kind and born.
func putMalformedEntries(s *system) error {
	ports, err := freePorts(len(zones))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"state":"ready","layers":{"source":80,"target":96}}`,
			platformtest.ModelService, loopback(ports[i]), zone)
		key := "of-another-writer-" + zone
		s.store.Put(platform.BackendsTopic, key, []byte(entry))
		s.journal.printf("another writer puts servers/%s: %s", key, entry)
	}
	return nil
}

// sendRequests sends requests of each kind to an instance, one after the other, until ctx ends.
func sendRequests(ctx context.Context, to *instance, record *journal, answers *tally) {
	for ctx.Err() == nil {
		for _, path := range []string{statusPath, "/once/book", "/stream/ask"} {
			what := sendOne(ctx, to, path)
			answers.add(what)
			if !strings.HasSuffix(what, " 200") {
				record.printf("client of %s: %s", to.name, what)
			}
		}
		time.Sleep(requestInterval)
	}
}

// sendOne sends one request on a connection of its own, and returns what came of it.
func sendOne(ctx context.Context, to *instance, path string) string {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	method, body := http.MethodPost, io.Reader(strings.NewReader("batch 7"))
	if strings.HasPrefix(path, "/any/") {
		method, body = http.MethodGet, nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.front+path, body)
	if err != nil {
		return path + " not sent"
	}
	request.Host = platformtest.Host
	request.Header.Set(platform.HeaderRequestID, uuid.NewString())
	request.Header.Set(platform.HeaderAPIKey, platformtest.APIKey)
	request.Header.Set(platform.HeaderDeadline, platform.FormatDeadline(requestTimeout))
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return path + " no answer"
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return path + " cut"
	}
	return fmt.Sprintf("%s %d", path, response.StatusCode)
}
