package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	plainSlots       = 6
	plainQueue       = 24
	plainWork        = 15 * time.Millisecond
	plainAnswerBytes = 800
	plainHeartbeat   = 1200 * time.Millisecond
)

// plainServer is a sound runner of the plain service, as on the sheet of a small deployment: it
// reads a request at once, works on a few at a time, queues some more and rejects the rest.
type plainServer struct {
	id       string
	zone     string
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	places   chan struct{}
	journal  *journal
	stopped  chan struct{}
}

// addPlainServer starts a plainServer, which writes its entry until the system is closed.
func (s *system) addPlainServer(zone string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("plain server: %w", err)
	}
	p := &plainServer{
		id: fmt.Sprintf("i-plain-%d", len(s.plainServers)+1), zone: zone, listener: listener, journal: s.journal,
		slots: make(chan struct{}, plainSlots), places: make(chan struct{}, plainSlots+plainQueue), stopped: make(chan struct{}),
	}
	p.server = &http.Server{Handler: p}
	s.plainServers = append(s.plainServers, p)
	go func() { _ = p.server.Serve(listener) }() // returns once it is closed
	go p.register(s.store, time.Now().UnixMilli())
	return nil
}

func (p *plainServer) close() {
	close(p.stopped)
	_ = p.server.Close() // ends all connections
}

// register writes the entry at each heartbeat.
func (p *plainServer) register(store *platformtest.Store, born int64) {
	ticker := time.NewTicker(plainHeartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		entry, err := json.Marshal(map[string]any{
			"service": platformtest.PlainService, "address": p.listener.Addr().String(), "zone": p.zone, "version": "v1",
			"slots": plainSlots, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence, "born": born,
		})
		if err == nil {
			store.Put(platform.BackendsTopic, p.id, entry)
		}
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if expected := r.Header.Get(platform.HeaderExpectBackend); expected != "" && expected != p.id {
		header.Set(platform.HeaderBackendID, p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	header.Set(platform.HeaderRequestID, id)
	select {
	case p.places <- struct{}{}:
		defer func() { <-p.places }()
	default:
		header.Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	p.journal.printf("server %s runs %s, %d bytes", p.id, id, size)
	time.Sleep(plainWork)
	header.Set(platform.HeaderSignature, "signed-"+id)
	_, _ = io.WriteString(w, strings.Repeat("b", plainAnswerBytes)) // fails only if the caller has left
}
