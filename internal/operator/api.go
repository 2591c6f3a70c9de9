// Package operator implements the server and the client of the administration API:
// publishing and promoting environment documents, reading them, and the status of an
// instance. Requests below /admin/v1 need the operators' bearer token.
//
// Usage: an instance serves NewServer(config).Handler() on the operators' address.
// The commands use a Client of any entry instance:
//
//	client := operator.NewClient("127.0.0.1:8081", token)
//	result, err := client.Publish(ctx, operator.PublishRequest{
//		Environment: "bench", ID: uuid.New(), Body: body,
//	})
package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const maxDocumentBytes = 2 << 20

// DocumentState describes the active document in one stage of an environment.
type DocumentState struct {
	Environment environment.Name
	Stage       environment.Stage
	Version     document.Version
	Digest      environment.Digest
	// Applied is false if this build could not parse the document and still serves
	// the last one that it could.
	Applied bool
}

// PeerState identifies an entry instance that this one has a link to.
type PeerState struct {
	Instance string
	Zone     string
}

// RunnerState describes a runner as last seen by this instance.
type RunnerState struct {
	Runner  string
	Zone    string
	Model   string
	Version string
	Layers  string
	Leaving bool
	Queued  int
}

// Status describes the state of an entry instance.
type Status struct {
	Instance    string
	Zone        string
	Incarnation string
	Ready       bool
	// LogAgeMillis is the time since the documents' stream was last read, in
	// milliseconds, or -1 if it has not been read yet.
	LogAgeMillis int64
	// AsOf is the offset of the last record of the documents' stream in the state, or
	// -1 before any record.
	AsOf      int64
	Documents []DocumentState
	Peers     []PeerState
	Runners   []RunnerState
	// Keys is the number of idempotency keys in the claims table.
	Keys int
	// FencingToken is the token under which this instance holds the lease for orders
	// of its zone, or -1 if it does not hold it.
	FencingToken int64
}

// Config configures a Server.
type Config struct {
	Replica   *document.Replica
	TokenHash environment.SecretHash
	Status    func() Status
	Metrics   http.Handler
	Logger    *zap.Logger
}

// Server serves the administration API to operators.
type Server struct {
	config Config
}

// NewServer returns a server of the administration API. Serve its Handler.
func NewServer(config Config) *Server {
	return &Server{config: config}
}

// Handler returns the handler of the administration API, the metrics and the health
// checks.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", s.config.Metrics).Methods(http.MethodGet)
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	r.HandleFunc("/readyz", s.ready)
	admin := r.PathPrefix("/admin/v1").Subrouter()
	admin.Use(s.authenticate)
	admin.HandleFunc("/status", s.status).Methods(http.MethodGet)
	admin.HandleFunc("/environments/{environment}/{stage}", s.publish).Methods(http.MethodPost)
	admin.HandleFunc("/environments/{environment}/{stage}", s.read).Methods(http.MethodGet)
	admin.HandleFunc("/environments/{environment}/promote", s.promote).Methods(http.MethodPut)
	return r
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.config.Status().Ready {
		writeJSON(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || environment.HashSecret(token) != s.config.TokenHash {
			writeProblem(w, http.StatusUnauthorized, wireProblem{Code: "unauthorized", Detail: "send Authorization: Bearer TOKEN"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, statusToWire(s.config.Status()))
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	stage := environment.Stage(mux.Vars(r)["stage"])
	if stage != environment.Trial {
		writeProblem(w, http.StatusBadRequest, wireProblem{Code: "wrong-stage", Detail: "publish to trial, then promote"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentBytes))
	if err != nil {
		writeProblem(w, http.StatusRequestEntityTooLarge, wireProblem{Code: "document-too-large", Detail: "the document is over 2 MiB"})
		return
	}
	name := environment.Name(mux.Vars(r)["environment"])
	doc, err := environment.Parse("document", body)
	if err != nil {
		writeProblem(w, http.StatusUnprocessableEntity, wireProblem{Code: "document-invalid", Detail: err.Error()})
		return
	}
	if doc.Environment != name {
		detail := fmt.Sprintf("the document describes %q", doc.Environment)
		writeProblem(w, http.StatusUnprocessableEntity, wireProblem{Code: "document-invalid", Detail: detail})
		return
	}
	s.publishAndRespond(w, r, environment.Trial, name, body)
}

// promote publishes the active trial document to production.
func (s *Server) promote(w http.ResponseWriter, r *http.Request) {
	name := environment.Name(mux.Vars(r)["environment"])
	for _, e := range s.config.Replica.Entries() {
		if e.Environment == name && e.Stage == environment.Trial {
			s.publishAndRespond(w, r, environment.Production, name, e.Body)
			return
		}
	}
	writeProblem(w, http.StatusNotFound, wireProblem{Code: "not-tried", Detail: "the environment has no document in trial"})
}

// publishAndRespond publishes a document and responds with the accepted entry or a
// problem.
func (s *Server) publishAndRespond(w http.ResponseWriter, r *http.Request, stage environment.Stage, name environment.Name, body []byte) {
	id, base, err := publishOptions(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, wireProblem{Code: "malformed-request", Detail: err.Error()})
		return
	}
	entry, err := s.config.Replica.Publish(r.Context(), id, stage, name, base, body)
	if err != nil {
		writePublishProblem(w, err)
		return
	}
	s.config.Logger.Info("document accepted", zap.String("environment", string(name)),
		zap.String("stage", string(stage)), zap.Int64("version", int64(entry.Version)))
	writeJSON(w, http.StatusOK, entryToWire(entry))
}

// publishOptions parses the publish ID and the version that the operator means to
// replace, nil if the request names none. Without a publish ID it makes a new one. A
// retry under the ID of a publication that is still undecided gets the result of that
// publication. Once that was accepted, the retry conflicts if it names the replaced
// version, and publishes a new version if it names none.
func publishOptions(r *http.Request) (document.PublishID, *document.Version, error) {
	id := uuid.New()
	query := r.URL.Query()
	if text := query.Get("publish-id"); text != "" {
		parsed, err := uuid.Parse(text)
		if err != nil {
			return id, nil, fmt.Errorf("publish-id: %w", err)
		}
		id = parsed
	}
	if !query.Has("base") {
		return id, nil, nil
	}
	var base document.Version
	if _, err := fmt.Sscan(query.Get("base"), &base); err != nil {
		return id, nil, fmt.Errorf("base: %w", err)
	}
	return id, &base, nil
}

func writePublishProblem(w http.ResponseWriter, err error) {
	var conflict *document.ConflictError
	var timeout *document.TimeoutError
	var incomplete *document.IncompleteError
	switch {
	case errors.As(err, &conflict):
		winner := entryToWire(conflict.Winner)
		writeProblem(w, http.StatusConflict, wireProblem{Code: string(conflict.Reason), Detail: err.Error(), Winner: &winner})
	case errors.As(err, &timeout) && timeout.MayTakeEffect:
		writeProblem(w, http.StatusGatewayTimeout, wireProblem{Code: "no-verdict", Detail: err.Error()})
	case errors.As(err, &timeout):
		writeProblem(w, http.StatusServiceUnavailable, wireProblem{Code: "log-unavailable", Detail: err.Error()})
	case errors.As(err, &incomplete):
		writeProblem(w, http.StatusServiceUnavailable, wireProblem{Code: "not-ready", Detail: err.Error()})
	default:
		writeProblem(w, http.StatusInternalServerError, wireProblem{Code: "internal", Detail: err.Error()})
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	vars := mux.Vars(r)
	for _, e := range s.config.Replica.Entries() {
		if string(e.Environment) == vars["environment"] && string(e.Stage) == vars["stage"] {
			w.Header().Set("Content-Type", "application/toml")
			w.Header().Set("Mulberryhead-Version", fmt.Sprint(int64(e.Version)))
			_, _ = w.Write(e.Body)
			return
		}
	}
	writeProblem(w, http.StatusNotFound, wireProblem{Code: "not-found", Detail: "nothing is in force there"})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeProblem(w http.ResponseWriter, status int, p wireProblem) {
	p.Type, p.Title, p.Status = "about:blank", http.StatusText(status), status
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
