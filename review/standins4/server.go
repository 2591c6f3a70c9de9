package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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
	// workTime is the time of a call to the plain service, and eventInterval that of an event of a stream.
	workTime      = 30 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	// eventsPerStream is the number of events of a stream.
	eventsPerStream = 40
	// layerLoad is the time in which a server loads a layer.
	layerLoad              = 10 * time.Millisecond
	plainSlots, modelSlots = 6, 192
	layerMB                = 1750.0
	// smallLayerMB lets one server hold the whole model.
	smallLayerMB = 700.0
	serverKind   = "h100"
	kindMB       = 72000.0
)

// serverGroup is all backend servers of a case.
type serverGroup struct {
	store  *platformtest.Store
	record *record
	// ends reports whether a request ends each server that runs it, and silent whether before it is answered.
	ends   func(body string) bool
	silent bool

	mu      sync.Mutex
	servers map[string]*server // by address
	runs    []run              // of requests that end servers
	plain   []run              // of calls to the plain service
	ended   []time.Time
}

// run is a request that has reached a server and that the server has begun to run.
type run struct {
	at     time.Time
	id     string
	server string
	tenant string
	body   string
}

// plainRuns returns the runs of calls to the plain service.
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

// layerRange has an exclusive end.
type layerRange struct {
	Source int `json:"source"`
	Target int `json:"target"`
}

// placeOrder is an order to hold layers.
type placeOrder struct {
	Operation string `json:"operation"`
	layerRange
	Expect *int64 `json:"expect"`
	Fence  int64  `json:"fencing-token"`
}

// server is a backend server. It keeps its address when it starts again, under another id.
type server struct {
	group   *serverGroup
	service string
	zone    string
	address string

	mu         sync.Mutex
	http       *http.Server
	id         string
	born       int64 // Unix milliseconds
	up         bool
	sequence   int64 // of entries
	orders     int64
	fence      int64
	busy       bool
	layers     layerRange
	reportedAt time.Time // last heartbeat
}

// add starts a server of a service.
func (g *serverGroup) add(service, zone string) error {
	listener, err := listenLoopback()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := &server{group: g, service: service, zone: zone, address: listener.Addr().String()}
	g.mu.Lock()
	if g.servers == nil {
		g.servers = map[string]*server{}
	}
	g.servers[s.address] = s
	g.mu.Unlock()
	s.start(listener)
	go s.heartbeat()
	return nil
}

// start begins an incarnation, which knows nothing of earlier ones.
func (s *server) start(listener net.Listener) {
	s.mu.Lock()
	s.id = "i-" + uuid.NewString()[:8]
	s.born = time.Now().UnixMilli()
	s.up, s.busy = true, false
	s.sequence, s.orders, s.fence = 0, 0, 0
	s.layers = layerRange{}
	s.http = &http.Server{Handler: s.handler(s.id), ReadHeaderTimeout: 5 * time.Second}
	running := s.http
	s.mu.Unlock()
	go func() { _ = running.Serve(listener) }() // ends with the incarnation
	s.writeEntry()
	s.group.record.add("server %s of %s starts at %s", s.id, s.service, s.address)
}

func (s *server) handler(id string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(platform.HeaderBackendID, id) })
	mux.HandleFunc("GET /api/report", s.serveReport)
	mux.HandleFunc("POST /api/order", s.serveOrder)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.serveRequest(w, r, id) })
	return mux
}

// crash ends the incarnation, as a killed process does: its sockets are closed. It is back after downTime.
func (s *server) crash(cause string) {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up = false
	ending, id := s.http, s.id
	lapses := time.Until(s.reportedAt.Add(entryLifetime))
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

func (s *server) heartbeat() {
	for range time.Tick(heartbeatInterval) {
		s.writeEntry()
	}
}

// writeEntry writes the entry of a server that is up.
func (s *server) writeEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.sequence++
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": plainSlots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.service == modelService {
		entry["slots"], entry["kind"], entry["layers"] = modelSlots, serverKind, s.layers
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err) // a map of plain values can be encoded
	}
	s.reportedAt = time.Now()
	s.group.store.Put(platform.BackendsTopic, s.id, value)
}

func (s *server) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "busy": s.busy, "sequence": s.orders, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 100000, "handles": 0,
		"born": s.born, "kind": serverKind, "layers": s.layers, "pace": 1.0, "stalled": []any{},
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // fails only if the caller has left
}

// serveOrder carries out a placement order. An order to change the path of a request is not known.
func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order placeOrder
	err := json.NewDecoder(r.Body).Decode(&order)
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := r.Header.Get(platform.HeaderExpectBackend)
	target := order.layerRange
	switch {
	case err != nil || order.Operation != "place" && order.Operation != "repath":
		w.WriteHeader(http.StatusBadRequest)
	case expected != "" && expected != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case order.Operation == "repath":
		w.WriteHeader(http.StatusNotFound)
	case order.Fence < s.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case s.busy || order.Expect != nil && *order.Expect != s.orders:
		w.WriteHeader(http.StatusConflict)
	case target == s.layers:
		w.WriteHeader(http.StatusOK)
	default:
		s.fence = order.Fence
		s.orders++
		s.load(target)
		w.WriteHeader(http.StatusAccepted)
	}
}

// load begins to hold other layers. It is called with mu held.
func (s *server) load(target layerRange) {
	s.busy = true
	s.layers = layerRange{Source: max(target.Source, s.layers.Source), Target: min(target.Target, s.layers.Target)}
	if s.layers.Target <= s.layers.Source {
		s.layers = layerRange{}
	}
	incarnation := s.id
	time.AfterFunc(time.Duration(target.Target-target.Source)*layerLoad, func() {
		s.mu.Lock()
		if s.up && s.id == incarnation {
			s.layers, s.busy = target, false
		}
		s.mu.Unlock()
		s.writeEntry()
	})
}

func (s *server) holds(part layerRange) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.up && s.layers.Source <= part.Source && part.Target <= s.layers.Target
}

// serveRequest runs a request that an instance has sent.
func (s *server) serveRequest(w http.ResponseWriter, r *http.Request, id string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, request)
	w.Header().Set(platform.HeaderBackendID, id)
	if expected := r.Header.Get(platform.HeaderExpectBackend); expected != "" && expected != id {
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(platform.HeaderSignature, "sig-"+request+"-"+id)
	ends := s.group.ends(string(body))
	if s.service == modelService {
		s.serveStream(w, r, request, id, ends)
		return
	}
	if ends {
		s.recordRun(request, id)
		s.crash("request " + request)
		return
	}
	one := run{at: time.Now(), id: request, server: id, tenant: r.Header.Get(platform.HeaderTeam), body: string(body)}
	s.group.record.add("server %s runs %s of tenant %q", id, request, one.tenant)
	s.group.mu.Lock()
	s.group.plain = append(s.group.plain, one)
	s.group.mu.Unlock()
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(w, "done by %s", id) // fails only if the caller has left
}

func (s *server) recordRun(request, id string) {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.runs = append(s.group.runs, run{at: time.Now(), id: request, server: id})
}

// serveStream runs a stream as the first server of its path. One that ends servers is run up to its first event
// and the event is sent; then the server crashes.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, request, id string, ends bool) {
	if missing := s.group.missingPart(r.Header.Get(platform.HeaderPath)); missing != "" {
		w.Header().Del(platform.HeaderSignature)
		w.Header().Set(platform.HeaderNotExecuted, "1")
		w.Header().Set(platform.HeaderBackendAtFault, missing)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if ends {
		s.recordRun(request, id)
	}
	if ends && s.group.silent {
		s.crash("request " + request)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // 0 without the header
	w.Header().Set("Content-Type", "text/event-stream")
	for event := last + 1; event <= eventsPerStream; event++ {
		time.Sleep(eventInterval)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", event, request, event)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			return
		}
		if ends {
			time.Sleep(eventInterval / 4) // of the next event
			s.crash("request " + request)
			return
		}
	}
}

// missingPart returns the first server of a path that does not hold its part, empty if all do.
func (g *serverGroup) missingPart(path string) string {
	for _, hop := range strings.Split(path, ",") {
		address, layers, _ := strings.Cut(hop, "=")
		from, to, _ := strings.Cut(layers, "-")
		first, errFirst := strconv.Atoi(from)
		end, errEnd := strconv.Atoi(to)
		g.mu.Lock()
		s := g.servers[address]
		g.mu.Unlock()
		if errFirst != nil || errEnd != nil || s == nil || !s.holds(layerRange{Source: first, Target: end}) {
			return address
		}
	}
	return ""
}
