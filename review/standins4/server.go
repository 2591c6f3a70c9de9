package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	heartbeatInterval = 1200 * time.Millisecond // as heartbeat-ms of the settings
	// entryLifetime is the silence after which an entry is removed: three heartbeat intervals.
	entryLifetime = 3 * heartbeatInterval
	// downTime is how long a server that has crashed is away ("back after some seconds").
	downTime = 2500 * time.Millisecond
	// workTime is the time of a call to the plain service.
	workTime               = 30 * time.Millisecond
	plainSlots, modelSlots = 6, 192
	// layerMB lets one server hold the whole model.
	layerMB    = 700.0
	serverKind = "h100"
	kindMB     = 72000.0
)

// serverGroup is the backend servers of the plain service that run within this process.
type serverGroup struct {
	store  *platformtest.Store
	record *record
	// ends reports whether a request ends each server that begins to run it.
	ends func(body string) bool

	mu      sync.Mutex
	servers []*server
	runs    []run // of requests that end servers
	plain   []run // of other requests
	ended   []time.Time
}

// run is a request that a server has begun to run.
type run struct {
	at   time.Time
	body string
}

// plainRuns returns the runs of requests that end no server.
func (g *serverGroup) plainRuns() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.plain...)
}

// endingRuns returns the runs of requests that end servers, and when servers have ended.
func (g *serverGroup) endingRuns() (runs []run, ended []time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...), append([]time.Time(nil), g.ended...)
}

// up returns how many servers are up.
func (g *serverGroup) up() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for _, s := range g.servers {
		s.mu.Lock()
		if s.up {
			count++
		}
		s.mu.Unlock()
	}
	return count
}

// server is a backend server. It keeps its address when it starts again, under another id.
type server struct {
	group   *serverGroup
	zone    string
	address string

	mu       sync.Mutex
	http     *http.Server
	id       string
	born     int64 // Unix milliseconds
	up       bool
	sequence int64
	heard    time.Time // last heartbeat
}

// add starts a server in a zone.
func (g *serverGroup) add(zone string) error {
	listener, err := listenLoopback()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &server{group: g, zone: zone, address: listener.Addr().String()}
	g.mu.Lock()
	g.servers = append(g.servers, s)
	g.mu.Unlock()
	s.start(listener)
	go func() {
		for range time.Tick(heartbeatInterval) {
			s.writeEntry()
		}
	}()
	return nil
}

// start begins an incarnation.
func (s *server) start(listener net.Listener) {
	s.mu.Lock()
	s.id = "i-" + uuid.NewString()[:8]
	s.born = time.Now().UnixMilli()
	s.up, s.sequence = true, 0
	s.http = &http.Server{Handler: s.handler(s.id), ReadHeaderTimeout: 5 * time.Second}
	running := s.http
	s.mu.Unlock()
	go func() { _ = running.Serve(listener) }() // ends with the incarnation
	s.writeEntry()
	s.group.record.add("server %s starts at %s", s.id, s.address)
}

func (s *server) handler(id string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(platform.HeaderBackendID, id) })
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serveRequest(w, r, id) })
	return mux
}

// crash ends the incarnation: its sockets are closed, and its entry lapses. It is back after downTime.
func (s *server) crash(cause string) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	ending, id := s.http, s.id
	lapses := time.Until(s.heard.Add(entryLifetime))
	s.mu.Unlock()
	s.group.mu.Lock()
	s.group.ended = append(s.group.ended, time.Now())
	number := len(s.group.ended)
	s.group.mu.Unlock()
	s.group.record.add("server %s crashes on %s: end %d", id, cause, number)
	_ = ending.Close()
	time.AfterFunc(lapses, func() { s.group.store.Put(platform.BackendsTopic, id, nil) })
	time.AfterFunc(downTime, s.restart)
}

func (s *server) restart() {
	listener, err := net.Listen("tcp4", s.address)
	if err != nil {
		time.AfterFunc(100*time.Millisecond, s.restart) // the address is still in use
		return
	}
	s.start(listener)
}

// writeEntry writes the entry of a server that is up.
func (s *server) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.sequence++
	s.heard = time.Now()
	value, err := json.Marshal(map[string]any{
		"service": plainService, "address": s.address, "zone": s.zone, "version": "v1", "slots": plainSlots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	})
	if err != nil {
		panic(err) // a map of plain values can be encoded
	}
	s.group.store.Put(platform.BackendsTopic, s.id, value)
}

// serveRequest runs a request that an instance has sent.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, request)
	if expected := r.Header.Get(platform.HeaderExpectBackend); expected != "" && expected != id {
		w.Header().Set(platform.HeaderBackendID, id)
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	one := run{at: time.Now(), body: string(body)}
	ends := s.group.ends(one.body)
	s.group.mu.Lock()
	if ends {
		s.group.runs = append(s.group.runs, one)
	} else {
		s.group.plain = append(s.group.plain, one)
	}
	s.group.mu.Unlock()
	s.group.record.add("server %s runs %s of tenant %q", id, request, r.Header.Get(platform.HeaderTeam))
	if ends {
		s.crash("request " + request)
		return
	}
	time.Sleep(workTime)
	w.Header().Set(platform.HeaderSignature, "sig-"+request+"-"+id)
	_, _ = fmt.Fprintf(w, "done by %s", id) // fails only if the caller has left
}
