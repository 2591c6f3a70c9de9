package standin

import (
	"io"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/gorilla/websocket"

	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	engineMaxBatch    = 64
	engineLoadHistory = 256
	sessionIdle       = 2 * time.Minute
	prefixCacheSize   = 512
	prefixBlock       = 16
)

// EngineConfig describes a model engine.
type EngineConfig struct {
	ID      runner.ID
	Model   environment.ModelName
	Version environment.ModelVersion
	Layers  int
	Range   runner.LayerRange
	// BatchCost is spent once for each batch, TokenCost for each position.
	BatchCost time.Duration
	TokenCost time.Duration
	// LinkDelay is added to each reply.
	LinkDelay time.Duration
	// RefuseOldFence refuses orders whose fencing number is below the
	// greatest one seen.
	RefuseOldFence bool
	// PlatformAddress is where weights are read, HOST:PORT.
	PlatformAddress string
	// Crash ends the process.
	Crash func()
}

// EngineFaults are the fault switches of an engine.
type EngineFaults struct {
	// SlowFactor multiplies the cost of each batch when above 1.
	SlowFactor int `json:"slow-factor"`
	// Silent makes every connection that is open now silent for good.
	Silent bool `json:"silent"`
	// CrashWord ends the process when a prompt holds the word.
	CrashWord string `json:"crash-word"`
	// CrashAfterSteps ends the process after that many more steps.
	CrashAfterSteps int `json:"crash-after-steps"`
	// StrayReplies sends each reply to every connection, twice.
	StrayReplies bool `json:"stray-replies"`
	// DropReplies runs the next steps but doesn't answer them.
	DropReplies int `json:"drop-replies"`
	// LoadLagMillis is the age of the load that is reported.
	LoadLagMillis int `json:"load-lag-millis"`
	// CacheEventLagMillis is the age at which cache events are published, and
	// every CacheEventGap-th is never, if above 0.
	CacheEventLagMillis int `json:"cache-event-lag-millis"`
	CacheEventGap       int `json:"cache-event-gap"`
	// LinkDelayMillis is added to each reply.
	LinkDelayMillis int `json:"link-delay-millis"`
	// Leaving makes the engine refuse new sessions.
	Leaving bool `json:"leaving"`
}

// EngineStatus is what an engine reports about itself.
type EngineStatus struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	Layers      int    `json:"layers"`
	First       int    `json:"first"`
	End         int    `json:"end"`
	Leaving     bool   `json:"leaving"`
	Queued      int    `json:"queued"`
	Sessions    int    `json:"sessions"`
	// PositionMicros and BatchMicros are the engine's cost figures.
	PositionMicros int64  `json:"position-micros"`
	BatchMicros    int64  `json:"batch-micros"`
	Fence          int64  `json:"fence"`
	OldOrders      int64  `json:"old-orders"`
	Steps          uint64 `json:"steps"`
	Repeats        uint64 `json:"repeats"`
	Loading        bool   `json:"loading"`
}

// Engine is the stand-in for a model engine that holds a range of layers.
type Engine struct {
	config      EngineConfig
	incarnation string

	mu       sync.Mutex
	wake     *sync.Cond
	faults   EngineFaults
	version  environment.ModelVersion
	loading  bool
	fence    int64
	old      int64
	queue    []job
	sessions map[sessionKey]*stageSession
	prefixes map[uint64]struct{}
	cache    cacheEvents
	conns    map[*engineConn]struct{}
	history  []loadSample
	steps    uint64
	repeats  uint64
}

type loadSample struct {
	at     time.Time
	queued int
}

type sessionKey struct {
	session runner.SessionID
	epoch   runner.Epoch
}

type stageSession struct {
	kv   *hashmodel.KV
	next runner.Position
	last runner.Reply
	used time.Time
}

type job struct {
	step  runner.Step
	reply func(runner.Reply)
}

// NewEngine starts an engine. It runs until the process ends.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config: config, version: config.Version,
		incarnation: uuid.NewString(),
		sessions:    map[sessionKey]*stageSession{},
		prefixes:    map[uint64]struct{}{},
		conns:       map[*engineConn]struct{}{},
	}
	e.wake = sync.NewCond(&e.mu)
	go e.work()
	return e
}

// Handler serves the engine's protocols.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", e.setFaults).Methods(http.MethodPost)
	r.HandleFunc(runner.StepsPath, e.serveStream).Methods(http.MethodGet)
	r.HandleFunc("/v1/step", e.serveStep).Methods(http.MethodPost)
	r.HandleFunc("/v1/status", e.serveStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/orders", e.serveOrder).Methods(http.MethodPost)
	r.HandleFunc("/v1/cache-events", e.serveCacheEvents).Methods(http.MethodGet)
	return r
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !decodeFaults(w, r, &e.faults) {
		return
	}
	if e.faults.Silent {
		for c := range e.conns {
			c.setSilent()
		}
		e.faults.Silent = false
	}
	writeJSON(w, http.StatusOK, e.faults)
}

// Leave makes the engine refuse new sessions.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.Leaving = true
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, http.StatusOK, EngineStatus{
		ID: string(e.config.ID), Incarnation: e.incarnation,
		Model: string(e.config.Model), Version: string(e.version),
		Layers: e.config.Layers, First: e.config.Range.First, End: e.config.Range.End,
		Leaving: e.faults.Leaving, Queued: e.reportedLoad(time.Now()), Sessions: len(e.sessions),
		PositionMicros: e.config.TokenCost.Microseconds(), BatchMicros: e.config.BatchCost.Microseconds(),
		Fence: e.fence, OldOrders: e.old, Steps: e.steps, Repeats: e.repeats, Loading: e.loading,
	})
}

func (e *Engine) reportedLoad(now time.Time) int {
	lag := milliseconds(e.faults.LoadLagMillis)
	if lag == 0 {
		return len(e.queue)
	}
	at := now.Add(-lag)
	n := sort.Search(len(e.history), func(i int) bool { return e.history[i].at.After(at) })
	if n == 0 {
		return 0
	}
	return e.history[n-1].queued
}

func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{}
	ws, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	ws.SetReadLimit(runner.MaxFrameBytes)
	c := &engineConn{ws: ws}
	e.mu.Lock()
	e.conns[c] = struct{}{}
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = ws.Close()
	}()
	for {
		_, data, err := ws.ReadMessage()
		if err != nil {
			return
		}
		frame, err := runner.DecodeFrame(data)
		if err != nil {
			return
		}
		if !c.isSilent() {
			e.accept(c, frame)
		}
	}
}

func (e *Engine) accept(c *engineConn, frame runner.Frame) {
	if frame.Heartbeat > 0 {
		c.send(nil, frame.Heartbeat)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, step := range frame.Steps {
		e.queue = append(e.queue, job{step: step, reply: func(r runner.Reply) { e.deliver(c, r) }})
	}
	for _, closed := range frame.Closes {
		delete(e.sessions, sessionKey{closed.Session, closed.Epoch})
	}
	e.wake.Signal()
}

// serveStep runs one step for one request: the baseline of the hop benchmark.
func (e *Engine) serveStep(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, runner.MaxFrameBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	frame, err := runner.DecodeFrame(data)
	if err != nil || len(frame.Steps) != 1 {
		http.Error(w, "want a frame with one step", http.StatusBadRequest)
		return
	}
	replies := make(chan runner.Reply, 1)
	e.mu.Lock()
	e.queue = append(e.queue, job{step: frame.Steps[0], reply: func(r runner.Reply) { replies <- r }})
	e.wake.Signal()
	e.mu.Unlock()
	answer, err := runner.EncodeFrame(runner.Frame{Replies: []runner.Reply{<-replies}})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(answer)
}
