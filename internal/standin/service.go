package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// ServiceFaults are the fault switches of a plain service.
type ServiceFaults struct {
	// DelayMillis delays each call before it takes effect.
	DelayMillis int `json:"delay-millis"`
	// DropBefore closes the connection of the next calls without effect.
	DropBefore int `json:"drop-before"`
	// DropAfter closes the connection of the next calls after their effect.
	DropAfter int `json:"drop-after"`
	// Silent makes the next calls hang after their effect.
	Silent int `json:"silent"`
	// FailNext answers the next calls 500 without effect.
	FailNext int `json:"fail-next"`
	// CrashWord ends the process when a body holds the word.
	CrashWord string `json:"crash-word"`
}

// ServiceConfig describes a plain service.
type ServiceConfig struct {
	// SupportsIdempotencyKeys makes the service answer a repeated idempotency key from its
	// ledger.
	SupportsIdempotencyKeys bool
	// Crash ends the process.
	Crash func()
}

// LedgerEntry is one call that really ran.
type LedgerEntry struct {
	Key    string `json:"key"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
}

// Service is the stand-in for a plain service. It keeps a ledger of what ran.
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

// Handler serves the service: GET /ledger lists what ran, every other path is
// a call.
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
	if decodeFaults(w, r, &s.faults) {
		writeJSON(w, http.StatusOK, s.faults)
	}
}

func (s *Service) serveLedger(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, append([]LedgerEntry{}, s.ledger...))
}

// Ledger returns a copy of what ran.
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
	before, after := take(&s.faults.DropBefore), false
	silent, fail := false, false
	if !before {
		fail = take(&s.faults.FailNext)
		after = !fail && take(&s.faults.DropAfter)
		silent = !fail && !after && take(&s.faults.Silent)
	}
	s.mu.Unlock()
	if faults.CrashWord != "" && strings.Contains(string(body), faults.CrashWord) {
		s.config.Crash()
	}
	time.Sleep(milliseconds(faults.DelayMillis))
	if before {
		dropConnection(w)
		return
	}
	if fail {
		http.Error(w, "failed without effect", http.StatusInternalServerError)
		return
	}
	number := s.enter(LedgerEntry{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Path: r.URL.Path, Body: string(body)})
	switch {
	case after:
		dropConnection(w)
	case silent:
		<-r.Context().Done()
	default:
		writeJSON(w, http.StatusOK, map[string]any{"number": number, "path": r.URL.Path})
	}
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// enter records the call and returns its number, counted from 1.
func (s *Service) enter(entry LedgerEntry) int {
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
