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
	maxBatchSteps        = 64
	maxLoadSamples       = 256
	sessionIdleTimeout   = 2 * time.Minute
	maxPrefixBlocks      = 512
	prefixBlockPositions = 16
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	ID      runner.ID
	Model   environment.ModelName
	Version environment.ModelVersion
	Layers  int
	Range   runner.LayerRange
	// BatchCost is the simulated processing time of each batch. TokenCost is added
	// for each position that is not in the prefix cache.
	BatchCost time.Duration
	TokenCost time.Duration
	// LinkDelay delays each reply on a stream.
	LinkDelay time.Duration
	// RefuseOldFence makes the engine reject orders whose fencing token is
	// below the greatest one received.
	RefuseOldFence bool
	// PlatformAddress is the HOST:PORT of the weight store. If it is empty, a new
	// version is active without reading weights.
	PlatformAddress string
	// Crash is called to simulate a crash; it is expected to exit the process.
	Crash func()
}

// EngineFaults configures fault injection in an Engine.
type EngineFaults struct {
	// SlowFactor multiplies the cost of each batch when above 1.
	SlowFactor int `json:"slow-factor"`
	// Silent makes every currently open connection permanently unresponsive;
	// the connections stay open. The switch resets itself.
	Silent bool `json:"silent"`
	// CrashWord crashes the engine when a step contains the token of this word.
	CrashWord string `json:"crash-word"`
	// CrashAfterSteps crashes the engine on the Nth step from now, before
	// the step is executed.
	CrashAfterSteps int `json:"crash-after-steps"`
	// StrayReplies sends each reply to every connection, twice.
	StrayReplies bool `json:"stray-replies"`
	// DropReplies executes the next N steps without sending replies.
	DropReplies int `json:"drop-replies"`
	// LoadLagMillis is the age of the reported queue length.
	LoadLagMillis int `json:"load-lag-millis"`
	// CacheEventLagMillis is the age at which cache events are published.
	// If CacheEventGap is above 0, every CacheEventGap-th event is never published.
	CacheEventLagMillis int `json:"cache-event-lag-millis"`
	CacheEventGap       int `json:"cache-event-gap"`
	// LinkDelayMillis delays each reply on a stream, in addition to
	// EngineConfig.LinkDelay.
	LinkDelayMillis int `json:"link-delay-millis"`
	// Leaving marks the engine as draining: it rejects new sessions.
	Leaving bool `json:"leaving"`
}

// EngineStatus is the response of GET /v1/status.
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
	// PositionMicros and BatchMicros are the configured TokenCost and BatchCost.
	PositionMicros int64 `json:"position-micros"`
	BatchMicros    int64 `json:"batch-micros"`
	// Fence is the greatest fencing token received.
	Fence int64 `json:"fence"`
	// OldOrders counts the orders received with a lower fencing token than an
	// earlier order, whether they were rejected or not.
	OldOrders int64 `json:"old-orders"`
	// Steps counts the positions that were computed.
	Steps uint64 `json:"steps"`
	// Repeats counts the steps that were answered with the previous reply.
	Repeats uint64 `json:"repeats"`
	Loading bool   `json:"loading"`
}

// Engine is a fake model engine that runs a range of the layers of one model.
type Engine struct {
	config      EngineConfig
	incarnation string

	mu                sync.Mutex
	notEmpty          *sync.Cond
	faults            EngineFaults
	version           environment.ModelVersion
	loading           bool
	fencingToken      int64
	oldOrders         int64
	queue             []queuedStep
	sessions          map[sessionKey]*stageSession
	prefixes          map[uint64]struct{}
	cacheEvents       cacheEventLog
	conns             map[*engineConn]struct{}
	loadHistory       []loadSample
	computedPositions uint64
	repeats           uint64
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
	kv           *hashmodel.KV
	nextPosition runner.Position
	lastReply    runner.Reply
	lastUsed     time.Time
}

type queuedStep struct {
	step  runner.Step
	reply func(runner.Reply)
}

// NewEngine starts an engine. Its goroutine runs until the process exits.
func NewEngine(config EngineConfig) *Engine {
	e := &Engine{
		config: config, version: config.Version,
		incarnation: uuid.NewString(),
		sessions:    map[sessionKey]*stageSession{},
		prefixes:    map[uint64]struct{}{},
		conns:       map[*engineConn]struct{}{},
	}
	e.notEmpty = sync.NewCond(&e.mu)
	go e.runBatches()
	return e
}

// Handler returns the handler of the engine's protocol and of POST /faults.
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
	if !decodeJSON(w, r, &e.faults) {
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

// Leave starts draining the engine: it rejects new sessions from now on.
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
		Fence: e.fencingToken, OldOrders: e.oldOrders, Steps: e.computedPositions, Repeats: e.repeats, Loading: e.loading,
	})
}

// reportedLoad returns the queue length, or the last recorded one that is at
// least LoadLagMillis old.
func (e *Engine) reportedLoad(now time.Time) int {
	lag := milliseconds(e.faults.LoadLagMillis)
	if lag == 0 {
		return len(e.queue)
	}
	at := now.Add(-lag)
	n := sort.Search(len(e.loadHistory), func(i int) bool { return e.loadHistory[i].at.After(at) })
	if n == 0 {
		return 0
	}
	return e.loadHistory[n-1].queued
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
		e.queue = append(e.queue, queuedStep{step: step, reply: func(r runner.Reply) { e.deliver(c, r) }})
	}
	for _, closed := range frame.Closes {
		delete(e.sessions, sessionKey{closed.Session, closed.Epoch})
	}
	e.notEmpty.Signal()
}

// serveStep executes one step per HTTP request. The hop benchmark uses it as the
// baseline for the stream.
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
	e.queue = append(e.queue, queuedStep{step: frame.Steps[0], reply: func(r runner.Reply) { replies <- r }})
	e.notEmpty.Signal()
	e.mu.Unlock()
	response, err := runner.EncodeFrame(runner.Frame{Replies: []runner.Reply{<-replies}})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(response)
}
