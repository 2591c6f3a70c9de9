package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	heartbeat = heartbeatM * time.Millisecond
	// expiry is how long after the last heartbeat the platform removes an entry.
	expiry = 3 * heartbeat
	// leaveTime is how long after it has said that it drains a runner leaves: drain-ms and a little longer.
	leaveTime = 4 * time.Second
	// downTime is how long a runner that has crashed is down.
	downTime = 2 * time.Second
)

// harm is what a request does to the runner that runs it.
type harm int

const (
	harmless harm = iota
	crashesAtBegin
	crashesAfterEvent
	// crashesLate crashes the runner some time after it has begun, also if the caller has left.
	crashesLate
)

// fleet is the runners. It is safe for concurrent use.
type fleet struct {
	record *record
	store  *platformtest.Store
	// harmOf tells what a request does. It is set before the first request.
	harmOf func(r *http.Request, body string) harm
	// loses tells whether a runner loses the answer to a request that it has run. It is nil if none does.
	loses func(s *runner, request string) bool
	// keepsOn is set if runners go on with a request whose caller has left.
	keepsOn bool

	mu         sync.Mutex
	runners    map[string]*runner // by address
	number     int
	served     bool // a request has come, so that loads take their full time
	runs       []ran
	crashTimes []time.Time
	whole      map[string]int // whole answers by request
	stopped    bool
}

// ran is a request that a runner has begun to run.
type ran struct {
	at      time.Time
	request string
	runner  string
	tenant  string
	harmful bool
}

func newFleet(record *record, store *platformtest.Store) *fleet {
	return &fleet{record: record, store: store, runners: map[string]*runner{}, whole: map[string]int{}, harmOf: func(*http.Request, string) harm { return harmless }}
}

// add starts a runner of a service, at an address or, if that is empty, at a free one.
func (f *fleet) add(service, address string) error { return f.addVersion(service, address, "v1", "\n") }

// addVersion adds a runner of a version of its software, which ends the lines of events with lineEnd.
func (f *fleet) addVersion(service, address, version, lineEnd string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	s := &runner{
		fleet: f, id: fmt.Sprintf("i-%08x", f.number), service: service, version: version, lineEnd: lineEnd, address: listener.Addr().String(), born: time.Now().UnixMilli(),
		ended: make(chan struct{}), silent: make(chan struct{}), paths: map[string]chan []hop{},
	}
	s.server = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}
	f.runners[s.address] = s
	go func() { _ = s.server.Serve(listener) }()
	go s.beat()
	return nil
}

// at returns the runner at an address that is up, nil if there is none.
func (f *fleet) at(address string) *runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.runners[address]
	if s == nil || s.isDown() {
		return nil
	}
	return s
}

// recordRun records that a runner begins to run a request.
func (f *fleet) recordRun(s *runner, r *http.Request, harmful bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := r.Header.Get(platform.HeaderRequestID)
	f.served = true
	f.runs = append(f.runs, ran{at: time.Now(), request: id, runner: s.id, tenant: r.Header.Get(platform.HeaderTeam), harmful: harmful})
	if harmful {
		f.record.note("runner %s (%s) runs harmful request %s %s", s.id, s.service, id, r.URL.RequestURI())
	}
}

// runsOf returns the runs so far.
func (f *fleet) runsOf() []ran {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]ran(nil), f.runs...)
}

// recordWhole records that a runner has written the whole answer to a request.
func (f *fleet) recordWhole(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.whole[request]++
}

// wholeAnswers returns how often runners have written the whole answer to a request.
func (f *fleet) wholeAnswers(request string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.whole[request]
}

// crashes returns when runners have crashed.
func (f *fleet) crashes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashTimes...)
}

// crash ends a runner without notice. It is back after downTime at its address, as a new incarnation with a
// new id, which holds nothing; the entry of the one that has ended expires.
func (f *fleet) crash(s *runner) {
	if !s.end() {
		return
	}
	f.mu.Lock()
	f.crashTimes = append(f.crashTimes, time.Now())
	number := len(f.crashTimes)
	f.mu.Unlock()
	f.record.note("runner %s (%s) has crashed, crash %d", s.id, s.service, number)
	go func() {
		_ = s.server.Close()
		time.Sleep(downTime)
		for !f.isStopped() && f.add(s.service, s.address) != nil {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(expiry - downTime)
		if !f.isStopped() {
			f.store.Put(platform.BackendsTopic, s.id, nil)
		}
	}()
}

// release replaces the runners of a service one after the other, every gap: the new one starts first, the old
// one drains, and leaves some time after it has said so.
func (f *fleet) release(service, version, lineEnd string, gap time.Duration) error {
	for _, old := range f.of(service) {
		if err := f.addVersion(service, "", version, lineEnd); err != nil {
			return err
		}
		time.Sleep(gap)
		old.drain()
		f.record.note("runner %s (%s %s) drains", old.id, service, old.version)
		time.AfterFunc(leaveTime, func() {
			if old.end() {
				_ = old.server.Close()
				f.store.Put(platform.BackendsTopic, old.id, nil)
			}
		})
	}
	time.Sleep(leaveTime)
	return nil
}

// of returns the runners of a service.
func (f *fleet) of(service string) []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var runners []*runner
	for _, s := range f.runners {
		if s.service == service && !s.isDown() {
			runners = append(runners, s)
		}
	}
	return runners
}

func (f *fleet) isStopped() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopped
}

func (f *fleet) stop() {
	f.mu.Lock()
	f.stopped = true
	runners := make([]*runner, 0, len(f.runners))
	for _, s := range f.runners {
		runners = append(runners, s)
	}
	f.mu.Unlock()
	for _, s := range runners {
		s.end()
		_ = s.server.Close()
	}
}

// holdsModel reports whether the runners of the model hold all layers.
func (f *fleet) holdsModel() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var held [layers]bool
	for _, s := range f.runners {
		for layer := range held {
			held[layer] = held[layer] || s.holds(layer, layer+1)
		}
	}
	for _, ok := range held {
		if !ok {
			return false
		}
	}
	return true
}

// writeEntry writes the entry of a runner to the list.
func (f *fleet) writeEntry(s *runner) {
	entry, err := json.Marshal(s.entry())
	if err != nil {
		return
	}
	f.store.Put(platform.BackendsTopic, s.id, entry)
}
