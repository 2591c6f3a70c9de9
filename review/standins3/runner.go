package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/platform"
)

const (
	// firstEventTime is the time until the first event of a stream, eventTime that of a further one.
	firstEventTime = 40 * time.Millisecond
	eventTime      = 20 * time.Millisecond
	eventCount     = 40
	// plainTime is the time of a request of the plain service.
	plainTime = 15 * time.Millisecond
	// crashDelay is how long after its first event, or the begin of a run, a harmful request crashes a runner.
	crashDelay = 10 * time.Millisecond
	// lateCrashDelay is how long a request runs that crashes a runner late.
	lateCrashDelay = time.Second
	modelSlots     = 192
	plainSlots     = 6
)

// hop is a part of a path.
type hop struct {
	address     string
	first, last int // last is exclusive
}

// runner is one incarnation of a runner.
type runner struct {
	fleet   *fleet
	id      string
	service string
	version string // of its software
	lineEnd string // of the lines of its events
	address string
	born    int64 // Unix milliseconds
	server  *http.Server
	ended   chan struct{}
	silent  chan struct{} // closed once it writes no entry any more

	mu          sync.Mutex
	down        bool
	draining    bool
	first, last int // layers held
	loading     bool
	orders      int64
	fence       int64
	sequence    int64
	running     int
	paths       map[string]chan []hop // of the streams, for repath orders
}

func (s *runner) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /api/report", s.serveReport)
	mux.HandleFunc("POST /api/order", s.serveOrder)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *runner) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// end marks the runner as down. It reports whether it was up.
func (s *runner) end() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.down = true
	close(s.ended)
	return true
}

func (s *runner) holds(first, last int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.down && s.first <= first && last <= s.last
}

func (s *runner) beat() {
	for {
		s.fleet.writeEntry(s)
		select {
		case <-s.ended:
			return
		case <-s.silent:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *runner) wireLayers() any {
	if s.first == s.last {
		return nil
	}
	return map[string]int{"source": s.first, "target": s.last, "version": 1}
}

func (s *runner) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": "zone-a", "version": s.version, "slots": plainSlots, "state": state,
		"cold-remaining-ms": 0, "sequence": s.sequence, "born": s.born,
	}
	if s.service == modelService {
		entry["slots"], entry["kind"], entry["layers"], entry["stage"] = modelSlots, "h100", s.wireLayers(), "both"
	}
	return entry
}

// silence ends the writing of entries, while the runner goes on serving. It is called once.
func (s *runner) silence() { close(s.silent) }

// drain writes that the runner leaves.
func (s *runner) drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.fleet.writeEntry(s)
}

func (s *runner) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.HeaderBackendID, s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *runner) serveReport(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{ // fails only if the caller has left
		"stage": "both", "models": []any{}, "busy": s.loading, "sequence": s.orders, "waiting": 0, "running": s.running, "kv-used": 0,
		"kv-total": 100000 * layers, "handles": 0, "kind": "h100", "layers": s.wireLayers(), "pace": 1.0, "born": s.born, "stalled": []any{},
	})
}

// order is the body of an order.
type order struct {
	Operation    string `json:"operation"`
	Source       int    `json:"source"`
	Target       int    `json:"target"`
	Expect       *int64 `json:"expect"`
	FencingToken *int64 `json:"fencing-token"`
	ID           string `json:"id"`
	Path         string `json:"path"`
}

func (s *runner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get(platform.HeaderExpectBackend); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch o.Operation {
	case "place":
		w.WriteHeader(s.place(&o))
	case "repath":
		w.WriteHeader(s.repath(&o))
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *runner) place(o *order) int {
	s.fleet.mu.Lock()
	served := s.fleet.served
	s.fleet.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.FencingToken != nil && *o.FencingToken < s.fence:
		return http.StatusPreconditionFailed
	case o.Expect != nil && *o.Expect != s.orders, s.loading:
		return http.StatusConflict
	case o.Source == s.first && o.Target == s.last:
		return http.StatusOK
	case (o.Target-o.Source)*layerMB > cardMB:
		return http.StatusBadRequest
	}
	if o.FencingToken != nil {
		s.fence = *o.FencingToken
	}
	s.orders++
	s.loading = true
	seconds := loadS * float64(o.Target-o.Source) / layers
	if !served {
		seconds /= 10
	}
	time.AfterFunc(time.Duration(seconds*float64(time.Second)), func() {
		s.mu.Lock()
		s.first, s.last, s.loading = o.Source, o.Target, false
		s.mu.Unlock()
	})
	return http.StatusAccepted
}

func (s *runner) repath(o *order) int {
	path, ok := parsePath(o.Path)
	if !ok {
		return http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	paths := s.paths[o.ID]
	if paths == nil {
		return http.StatusNotFound
	}
	select {
	case paths <- path:
	default:
	}
	return http.StatusOK
}

func parsePath(text string) ([]hop, bool) {
	var path []hop
	for _, part := range strings.Split(text, ",") {
		address, span, _ := strings.Cut(part, "=")
		from, to, _ := strings.Cut(span, "-")
		first, errFirst := strconv.Atoi(from)
		last, errLast := strconv.Atoi(to)
		if errFirst != nil || errLast != nil {
			return nil, false
		}
		path = append(path, hop{address: address, first: first, last: last})
	}
	return path, true
}

// serveRequest serves a request that an instance passes on.
func (s *runner) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	if expected := r.Header.Get(platform.HeaderExpectBackend); expected != "" && expected != s.id {
		w.Header().Set(platform.HeaderBackendID, s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.service == modelService {
		s.serveStream(w, r, string(body))
		return
	}
	s.servePlain(w, r, string(body))
}

func (s *runner) signature(r *http.Request) string {
	return fmt.Sprintf("%s.%s", s.id, r.Header.Get(platform.HeaderRequestID))
}

func (s *runner) servePlain(w http.ResponseWriter, r *http.Request, body string) {
	harmful := s.fleet.harmOf(r, body)
	s.fleet.recordRun(s, r, harmful != harmless)
	switch harmful {
	case crashesAtBegin:
		s.crash()
	case crashesLate:
		if deadline := platform.ParseDeadline(r.Header); deadline > 0 && deadline < lateCrashDelay {
			s.sleep(r, deadline)
			w.Header().Set(platform.HeaderSignature, s.signature(r))
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		s.sleep(r, lateCrashDelay)
		s.crash()
	case harmless, crashesAfterEvent:
	}
	if !s.sleep(r, plainTime) {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get(platform.HeaderRequestID); s.fleet.loses != nil && s.fleet.loses(s, id) {
		s.fleet.record.note("runner %s has run request %s and loses the answer", s.id, id)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderSignature, s.signature(r))
	w.Header().Set(platform.HeaderLoad, fmt.Sprintf("1,0,%d", plainSlots))
	_, _ = io.WriteString(w, "done:"+body) // fails only if the caller has left
}

// crash ends the runner while it runs a request.
func (s *runner) crash() {
	time.Sleep(crashDelay)
	s.fleet.crash(s)
	panic(http.ErrAbortHandler)
}

// sleep reports false if the caller left or the runner ended meanwhile.
func (s *runner) sleep(r *http.Request, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return !s.isDown()
	case <-s.ended:
	case <-s.left(r):
	}
	return false
}

// left returns a channel that is closed once the caller has left, nil if the runner goes on without it.
func (s *runner) left(r *http.Request) <-chan struct{} {
	if s.fleet.keepsOn {
		return nil
	}
	return r.Context().Done()
}

// serveStream runs a request of the model along its path.
func (s *runner) serveStream(w http.ResponseWriter, r *http.Request, body string) {
	id := r.Header.Get(platform.HeaderRequestID)
	path, ok := parsePath(r.Header.Get(platform.HeaderPath))
	if !ok || path[0].address != s.address {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if lacking := s.fleet.lacking(path); lacking != "" {
		w.Header().Set(platform.HeaderBackendAtFault, lacking)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	paths := s.register(id)
	defer s.unregister(id)
	harmful := s.fleet.harmOf(r, body)
	last, _ := strconv.Atoi(r.Header.Get(platform.HeaderLastEventID)) // without it the stream begins at the first event
	begun := false
	for event := last + 1; event <= eventCount; event++ {
		wait := eventTime
		if !begun {
			wait = firstEventTime
		}
		if !s.sleep(r, wait) || !s.awaitPath(r, &path, paths) {
			s.breakOff(w, begun, path)
			return
		}
		if !begun {
			begun = true
			s.fleet.recordRun(s, r, harmful != harmless)
			if harmful == crashesAtBegin {
				s.crash()
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set(platform.HeaderSignature, s.signature(r))
			w.Header().Set("X-Weight-Versions", "1")
		}
		text := strings.ReplaceAll(fmt.Sprintf("id: %d\ndata: %s/%d\n\n", event, body, event), "\n", s.lineEnd)
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if harmful == crashesAfterEvent {
			s.crash()
		}
	}
	s.fleet.recordWhole(id)
}

// breakOff ends a stream whose path does not go on, or whose caller has left.
func (s *runner) breakOff(w http.ResponseWriter, begun bool, path []hop) {
	if begun || s.isDown() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderNotExecuted, "1")
	w.Header().Set(platform.HeaderBackendAtFault, s.fleet.lacking(path))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// awaitPath waits while a part of the path is down, until the stream has got another path or has stalled.
func (s *runner) awaitPath(r *http.Request, path *[]hop, paths chan []hop) bool {
	stalled := time.Now().Add(stallMS * time.Millisecond)
	for s.fleet.lacking(*path) != "" {
		select {
		case *path = <-paths:
		case <-time.After(10 * time.Millisecond):
		case <-s.ended:
			return false
		case <-r.Context().Done():
			return false
		}
		if time.Now().After(stalled) {
			return false
		}
	}
	return true
}

// lacking returns the address of a part of a path that is down or does not hold its layers, empty if there
// is none.
func (f *fleet) lacking(path []hop) string {
	for _, h := range path {
		if s := f.at(h.address); s == nil || !s.holds(h.first, h.last) {
			return h.address
		}
	}
	return ""
}

func (s *runner) register(id string) chan []hop {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	paths := make(chan []hop, 1)
	s.paths[id] = paths
	return paths
}

func (s *runner) unregister(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	delete(s.paths, id)
}
