package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// ServiceFaults configures fault injection in a Service.
type ServiceFaults struct {
	// DelayMillis delays each call before it is executed.
	DelayMillis int `json:"delay-millis"`
	// DropBefore drops the connections of the next N calls without executing them.
	DropBefore int `json:"drop-before"`
	// DropAfter drops the connections of the next N calls after executing them.
	DropAfter int `json:"drop-after"`
	// Silent executes the next N calls but never responds to them.
	Silent int `json:"silent"`
	// FailNext responds to the next N calls with 500 without executing them.
	FailNext int `json:"fail-next"`
	// CrashWord crashes the service when a request body contains the word.
	CrashWord string `json:"crash-word"`
}

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// SupportsIdempotencyKeys makes the service return the number of the original
	// call for a repeated idempotency key, without executing the call again.
	SupportsIdempotencyKeys bool
	// Crash is called to simulate a crash; it is expected to exit the process.
	Crash func()
}

// LedgerEntry is one call that the service executed. Key is its idempotency key.
type LedgerEntry struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Service is a fake of a plain service. It records the executed calls in a ledger.
type Service struct {
	config ServiceConfig

	mu     sync.Mutex
	faults ServiceFaults
	ledger []LedgerEntry
	byKey  map[string]int
}

// NewService returns a service with an empty ledger.
func NewService(config ServiceConfig) *Service {
	return &Service{config: config, byKey: map[string]int{}}
}

// Handler returns the handler of the service. GET /ledger lists the executed
// calls, POST /faults sets the fault switches and /healthz is the health check.
// Every other request is a call.
func (s *Service) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/ledger", s.serveLedger).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	r.PathPrefix("/").HandlerFunc(s.serveCall)
	return r
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if decodeJSON(w, r, &s.faults) {
		writeJSON(w, http.StatusOK, s.faults)
	}
}

func (s *Service) serveLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, append([]LedgerEntry{}, s.ledger...))
}

// Ledger returns a copy of the executed calls, oldest first.
func (s *Service) Ledger() []LedgerEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]LedgerEntry{}, s.ledger...)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	faults := s.faults
	dropBefore, dropAfter := consume(&s.faults.DropBefore), false
	silent, fail := false, false
	if !dropBefore {
		fail = consume(&s.faults.FailNext)
		dropAfter = !fail && consume(&s.faults.DropAfter)
		silent = !fail && !dropAfter && consume(&s.faults.Silent)
	}
	s.mu.Unlock()
	if faults.CrashWord != "" && strings.Contains(string(body), faults.CrashWord) {
		s.config.Crash()
	}
	time.Sleep(milliseconds(faults.DelayMillis))
	if dropBefore {
		dropConnection(w)
		return
	}
	if fail {
		http.Error(w, "failed without effect", http.StatusInternalServerError)
		return
	}
	number := s.recordCall(LedgerEntry{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.Path, Body: string(body)})
	switch {
	case dropAfter:
		dropConnection(w)
	case silent:
		<-r.Context().Done()
	default:
		writeJSON(w, http.StatusOK, map[string]any{"number": number, "path": r.URL.Path})
	}
}

// consume decrements a counter and reports whether it was above 0.
func consume(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// recordCall adds a call to the ledger and returns its number, counted from 1. For
// a repeated idempotency key, if supported, it returns the original number.
func (s *Service) recordCall(entry LedgerEntry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.SupportsIdempotencyKeys && entry.Key != "" {
		if n, ok := s.byKey[entry.Key]; ok {
			return n
		}
	}
	s.ledger = append(s.ledger, entry)
	s.byKey[entry.Key] = len(s.ledger)
	return len(s.ledger)
}
