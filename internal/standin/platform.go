package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

const (
	maxRecordBytes          = 4 << 20
	maxPageRecords          = 512
	maxReadTimeout          = 10 * time.Second
	defaultAppendsPerSecond = 400
	defaultRetention        = 24 * time.Hour
	weightBytes             = 1 << 12
)

// PlatformFaults configures fault injection in a Platform.
type PlatformFaults struct {
	// LogDown makes every read and append fail with 503.
	LogDown bool `json:"log-down"`
	// LoseAnswers drops the connections of the next N appends after the record
	// was appended.
	LoseAnswers int `json:"lose-answers"`
	// AppendDelayMillis delays each append before the record is appended.
	AppendDelayMillis int `json:"append-delay-millis"`
	// LateAppends drops the connections of the next N appends immediately and
	// appends their records LateMillis later.
	LateAppends int `json:"late-appends"`
	LateMillis  int `json:"late-millis"`
	// InstanceLagMillis is the age of the instance list that is returned.
	InstanceLagMillis int `json:"instance-lag-millis"`
	// Cut lists the clients whose connections are dropped. A client is the
	// part of the User-Agent header after its last slash.
	Cut []string `json:"cut"`
}

// PlatformConfig sets the rate limits and the log retention of a Platform. Values
// that are not above 0 are replaced by defaults.
type PlatformConfig struct {
	AppendsPerSecond float64
	Retention        time.Duration
	WeightsPerSecond float64
}

// Platform is a fake of the log service, the instance list and the weight store.
type Platform struct {
	mu              sync.Mutex
	faults          PlatformFaults
	streams         map[string]*logStream
	instances       map[string]Instance
	instanceHistory []instanceSnapshot
	appends         *rate.Limiter
	weights         *rate.Limiter
	retention       time.Duration
	rejectedAppends int
}

// Instance is one entry of the instance list.
type Instance struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	Serves  string `json:"serves"`
	Leaving bool   `json:"leaving"`
}

type instanceSnapshot struct {
	at   time.Time
	list []Instance
}

type logStream struct {
	first   int64
	records []logRecord
	changed chan struct{}
}

type logRecord struct {
	Offset int64  `json:"offset"`
	Millis int64  `json:"time-millis"`
	Body   []byte `json:"body"`
}

type logPage struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []logRecord `json:"records"`
}

// NewPlatform returns a platform with an empty log and instance list.
func NewPlatform(config PlatformConfig) *Platform {
	if config.AppendsPerSecond <= 0 {
		config.AppendsPerSecond = defaultAppendsPerSecond
	}
	if config.Retention <= 0 {
		config.Retention = defaultRetention
	}
	if config.WeightsPerSecond <= 0 {
		config.WeightsPerSecond = 2
	}
	return &Platform{
		streams:   map[string]*logStream{},
		instances: map[string]Instance{},
		appends:   rate.NewLimiter(rate.Limit(config.AppendsPerSecond), int(config.AppendsPerSecond)/4+1),
		weights:   rate.NewLimiter(rate.Limit(config.WeightsPerSecond), 1),
		retention: config.Retention,
	}
}

// Handler returns the handler of the platform's protocols, of POST /faults and
// /trim, and of GET /stats.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/faults", p.setFaults).Methods(http.MethodPost)
	r.HandleFunc("/trim/{stream}/{before}", p.trim).Methods(http.MethodPost)
	r.HandleFunc("/stats", p.stats).Methods(http.MethodGet)
	clientRoutes := r.NewRoute().Subrouter()
	clientRoutes.Use(p.dropCutClients)
	clientRoutes.HandleFunc("/streams/{stream}/records", p.append).Methods(http.MethodPost)
	clientRoutes.HandleFunc("/streams/{stream}/records", p.read).Methods(http.MethodGet)
	clientRoutes.HandleFunc("/instances", p.listInstances).Methods(http.MethodGet)
	clientRoutes.HandleFunc("/instances/{id}", p.putInstance).Methods(http.MethodPut)
	clientRoutes.HandleFunc("/instances/{id}", p.deleteInstance).Methods(http.MethodDelete)
	clientRoutes.HandleFunc("/weights/{model}/{version}", p.readWeights).Methods(http.MethodGet)
	return r
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if decodeJSON(w, r, &p.faults) {
		writeJSON(w, http.StatusOK, p.faults)
	}
}

// dropCutClients drops the connections of the clients listed in Cut.
func (p *Platform) dropCutClients(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		cut := false
		for _, client := range p.faults.Cut {
			cut = cut || strings.HasSuffix(r.UserAgent(), "/"+client)
		}
		p.mu.Unlock()
		if cut {
			dropConnection(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) stream(name string) *logStream {
	s, ok := p.streams[name]
	if !ok {
		s = &logStream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	faults := p.faults
	loseResponse, lateAppend := faults.LoseAnswers > 0, faults.LateAppends > 0
	if faults.LogDown || !p.appends.Allow() {
		p.rejectedAppends++
		p.mu.Unlock()
		w.Header().Set("Retry-After", "1")
		http.Error(w, "log unavailable", http.StatusServiceUnavailable)
		return
	}
	if lateAppend {
		p.faults.LateAppends--
	} else if loseResponse {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	name := mux.Vars(r)["stream"]
	if lateAppend {
		time.AfterFunc(milliseconds(faults.LateMillis), func() { p.commit(name, body, time.Now()) })
		dropConnection(w)
		return
	}
	time.Sleep(milliseconds(faults.AppendDelayMillis))
	record := p.commit(name, body, time.Now())
	if loseResponse {
		dropConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, logRecord{Offset: record.Offset, Millis: record.Millis})
}

func (p *Platform) commit(name string, body []byte, now time.Time) logRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	s.expire(now.Add(-p.retention))
	record := logRecord{Offset: s.nextOffset(), Millis: now.UnixMilli(), Body: body}
	s.records = append(s.records, record)
	close(s.changed)
	s.changed = make(chan struct{})
	return record
}

func (s *logStream) nextOffset() int64 {
	return s.first + int64(len(s.records))
}

// expire drops the records that were appended before a time.
func (s *logStream) expire(before time.Time) {
	n := sort.Search(len(s.records), func(i int) bool { return s.records[i].Millis >= before.UnixMilli() })
	s.drop(n)
}

func (s *logStream) drop(n int) {
	s.records = append([]logRecord(nil), s.records[n:]...)
	s.first += int64(n)
}

// trim drops the records below an offset, to simulate retention.
func (p *Platform) trim(w http.ResponseWriter, r *http.Request) {
	before, err := strconv.ParseInt(mux.Vars(r)["before"], 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(mux.Vars(r)["stream"])
	s.drop(int(min(max(before-s.first, 0), int64(len(s.records)))))
	writeJSON(w, http.StatusOK, logPage{First: s.first, Next: s.nextOffset()})
}

// read returns a page of records. If there are none from the requested offset
// on, it waits for up to wait-millis, at most maxReadTimeout.
func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(query.Get("wait-millis"))
	deadline := time.After(min(milliseconds(wait), maxReadTimeout))
	for {
		status, page, changed := p.readPage(mux.Vars(r)["stream"], from)
		if status != http.StatusOK || len(page.Records) > 0 || wait <= 0 {
			writeJSON(w, status, page)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, status, page)
			return
		}
	}
}

func (p *Platform) readPage(name string, from int64) (int, logPage, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LogDown {
		return http.StatusServiceUnavailable, logPage{}, nil
	}
	s := p.stream(name)
	s.expire(time.Now().Add(-p.retention))
	page := logPage{First: s.first, Next: s.nextOffset(), Records: []logRecord{}}
	if from < s.first {
		return http.StatusGone, page, nil
	}
	if from < s.nextOffset() {
		records := s.records[from-s.first:]
		page.Records = records[:min(len(records), maxPageRecords)]
	}
	return http.StatusOK, page, s.changed
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.currentInstances()
	if lag := milliseconds(p.faults.InstanceLagMillis); lag > 0 {
		list = p.instancesAt(time.Now().Add(-lag))
	}
	data, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 36))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (p *Platform) currentInstances() []Instance {
	list := make([]Instance, 0, len(p.instances))
	for _, i := range p.instances {
		list = append(list, i)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func (p *Platform) instancesAt(at time.Time) []Instance {
	list := []Instance{}
	for _, s := range p.instanceHistory {
		if s.at.After(at) {
			break
		}
		list = s.list
	}
	return list
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var instance Instance
	if !decodeJSON(w, r, &instance) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	instance.ID = mux.Vars(r)["id"]
	p.instances[instance.ID] = instance
	p.recordInstances()
	writeJSON(w, http.StatusOK, instance)
}

func (p *Platform) deleteInstance(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, mux.Vars(r)["id"])
	p.recordInstances()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) recordInstances() {
	const maxSnapshots = 1024
	p.instanceHistory = append(p.instanceHistory, instanceSnapshot{at: time.Now(), list: p.currentInstances()})
	if len(p.instanceHistory) > maxSnapshots {
		p.instanceHistory = p.instanceHistory[len(p.instanceHistory)-maxSnapshots:]
	}
}

func (p *Platform) readWeights(w http.ResponseWriter, r *http.Request) {
	if !p.weights.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "weight store is at its rate limit", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(make([]byte, weightBytes))
}

// stats returns the next offset of each stream, which counts all records ever
// appended, and the number of rejected appends.
func (p *Platform) stats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := map[string]int64{"refused-appends": int64(p.rejectedAppends)}
	for name, s := range p.streams {
		counts[name] = s.nextOffset()
	}
	writeJSON(w, http.StatusOK, counts)
}
