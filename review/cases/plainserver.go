package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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
	// plainDownTime is how long a crashed server is down, and plainEntryExpiry how long its entry
	// outlives it: three heartbeats.
	plainDownTime    = 4 * time.Second
	plainEntryExpiry = 3 * plainHeartbeat
)

// plainServer is a sound runner of the plain service, as on the sheet of a small deployment: it
// reads a request at once, works on a few at a time, queues some more and rejects the rest. After
// a crash it is back at its address as a new incarnation with a new id.
type plainServer struct {
	zone    string
	address string
	store   *platformtest.Store
	journal *journal
	// onRun is called with each request that begins to run. The server crashes if it returns true.
	onRun func(r *http.Request, server string) (crashes bool)

	mu      sync.Mutex
	current *plainIncarnation // nil while it is down
	starts  int
	closed  bool
}

// plainIncarnation is one start of a plainServer.
type plainIncarnation struct {
	owner   *plainServer
	id      string
	server  *http.Server
	slots   chan struct{}
	places  chan struct{}
	stopped chan struct{}
}

// addPlainServer starts a plainServer that runs until the system is closed.
func (s *system) addPlainServer(zone string) (*plainServer, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("plain server: %w", err)
	}
	p := &plainServer{
		zone: zone, address: listener.Addr().String(), store: s.store, journal: s.journal,
		onRun: func(*http.Request, string) bool { return false },
	}
	s.plainServers = append(s.plainServers, p)
	p.start(listener)
	return p, nil
}

func (p *plainServer) start(listener net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = listener.Close() // it was not used
		return
	}
	p.starts++
	_, port, _ := net.SplitHostPort(p.address) // the address of a listener has a port
	started := &plainIncarnation{
		owner: p, id: fmt.Sprintf("i-%s-%d", port, p.starts), slots: make(chan struct{}, plainSlots),
		places: make(chan struct{}, plainSlots+plainQueue), stopped: make(chan struct{}),
	}
	started.server = &http.Server{Handler: started}
	p.current = started
	p.journal.printf("server %s starts", started.id)
	go func() { _ = started.server.Serve(listener) }() // returns once it is closed
	go started.register(time.Now().UnixMilli())
}

// crash ends the incarnation without notice, and starts the next one after plainDownTime.
func (p *plainServer) crash(crashed *plainIncarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != crashed {
		return
	}
	p.current = nil
	p.journal.printf("server %s crashes", crashed.id)
	crashed.stop()
	time.AfterFunc(plainEntryExpiry, func() { p.store.Put(platform.BackendsTopic, crashed.id, nil) })
	time.AfterFunc(plainDownTime, func() {
		listener, err := net.Listen("tcp4", p.address)
		if err != nil {
			p.journal.printf("server at %s can't start again: %v", p.address, err)
			return
		}
		p.start(listener)
	})
}

func (p *plainServer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.current != nil {
		p.current.stop()
	}
}

// stop closes the listener and all connections.
func (i *plainIncarnation) stop() {
	close(i.stopped)
	_ = i.server.Close()
}

// register writes the entry at each heartbeat.
func (i *plainIncarnation) register(born int64) {
	ticker := time.NewTicker(plainHeartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		entry, err := json.Marshal(map[string]any{
			"service": platformtest.PlainService, "address": i.owner.address, "zone": i.owner.zone, "version": "v1",
			"slots": plainSlots, "state": "ready", "cold-remaining-ms": 0, "sequence": sequence, "born": born,
		})
		if err == nil {
			i.owner.store.Put(platform.BackendsTopic, i.id, entry)
		}
		select {
		case <-i.stopped:
			return
		case <-ticker.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (i *plainIncarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	if expected := r.Header.Get(platform.HeaderExpectBackend); expected != "" && expected != i.id {
		header.Set(platform.HeaderBackendID, i.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(platform.HeaderRequestID)
	header.Set(platform.HeaderRequestID, id)
	select {
	case i.places <- struct{}{}:
		defer func() { <-i.places }()
	default:
		header.Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	i.slots <- struct{}{}
	defer func() { <-i.slots }()
	i.owner.journal.printf("server %s runs %s, %d bytes", i.id, id, size)
	if i.owner.onRun(r, i.id) {
		i.owner.crash(i)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(plainWork)
	header.Set(platform.HeaderSignature, "signed-"+id)
	_, _ = io.WriteString(w, strings.Repeat("b", plainAnswerBytes)) // fails only if the caller has left
}
