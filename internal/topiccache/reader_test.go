package topiccache

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/platform"
)

// The bounds are those of the platform: how long after the end of a disruption an instance is held to them
// again, and how long after the store has acknowledged a record each instance must know it.
const (
	stableWindow = 3 * time.Second
	knownWithin  = 2 * time.Second
)

// storeState is how the store answers an instance.
type storeState int

const (
	storeSound storeState = iota
	storeRefuses
	storeSilent
	storeSlow
	storeStates
)

// model is a store, and the instances of a zone that follow one of its topics, in simulated time.
type model struct {
	*rand.Rand
	now       time.Time
	events    []event
	records   []platform.Record
	first     platform.Offset
	instances []*modelInstance
	cut       map[[2]int]bool
	interval  time.Duration // between reads
	wait      time.Duration // of a read for records
	large     bool          // pushes carry an offset only
	newest    []time.Time   // when the newest records were read
}

type event struct {
	at time.Time
	do func()
}

type modelInstance struct {
	reader    Reader
	cache     *Cache
	fetch     Fetch
	heardNext platform.Offset
	store     storeState
}

func newModel(seed uint64, count int, interval, wait time.Duration) *model {
	m := &model{Rand: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0), cut: map[[2]int]bool{}, interval: interval, wait: wait}
	m.large = m.IntN(2) == 0
	for i := range count {
		m.instances = append(m.instances, &modelInstance{cache: New()})
		m.after(m.upTo(300*time.Millisecond), func() { m.follow(i) })
		m.after(m.upTo(300*time.Millisecond), func() { m.fetchLoop(i) })
	}
	return m
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.Int64N(int64(d))) }

func (m *model) after(d time.Duration, do func()) {
	at := m.now.Add(d)
	i, _ := slices.BinarySearchFunc(m.events, at, func(e event, at time.Time) int { return e.at.Compare(at.Add(1)) })
	m.events = slices.Insert(m.events, i, event{at, do})
}

func (m *model) runFor(d time.Duration) {
	for end := m.now.Add(d); ; {
		if m.events[0].at.After(end) {
			m.now = end
			return
		}
		next := m.events[0]
		m.events = m.events[1:]
		m.now = next.at
		next.do()
	}
}

func (m *model) end() platform.Offset { return platform.Offset(len(m.records)) }

func (m *model) write() {
	record := platform.Record{Offset: m.end(), Key: fmt.Sprint(m.IntN(6))}
	if m.IntN(4) > 0 {
		record.Value = fmt.Append(nil, record.Offset)
	}
	m.records = append(m.records, record)
}

func (m *model) linked(i int) (peers []int) {
	for j := range m.instances {
		if j != i && !m.cut[[2]int{min(i, j), max(i, j)}] {
			peers = append(peers, j)
		}
	}
	return peers
}

func (m *model) readsForAll(i int) bool {
	linked := m.linked(i)
	return len(linked) == 0 || i < linked[0]
}

// send delivers a message, one that was sent into a cut when it ends, at times late.
func (m *model) send(i, j int, deliver func()) {
	m.after(time.Millisecond+m.upTo(3*time.Millisecond), func() {
		if m.cut[[2]int{min(i, j), max(i, j)}] {
			m.send(i, j, deliver)
			return
		}
		deliver()
	})
}

func (m *model) follow(i int) {
	in := m.instances[i]
	switch call := in.reader.Next(m.now, m.interval, m.readsForAll(i)).(type) {
	case Rest:
		m.after(call.For, func() { m.follow(i) })
	case ReadChanges:
		m.call(i, call, m.now.Add(m.wait))
	case ReadNewest:
		m.call(i, call, m.now)
	}
}

// call makes a call to the store, which looks at its records at one moment; the response may be late.
func (m *model) call(i int, call Call, waitsUntil time.Time) {
	in := m.instances[i]
	response := 4 * time.Millisecond
	switch in.store {
	case storeRefuses, storeSilent:
		if in.store == storeSilent {
			response = 1500 * time.Millisecond
		}
		m.after(response, func() { in.reader.Record(m.now, Failed{}); m.follow(i) })
		return
	case storeSlow:
		response = m.upTo(1400 * time.Millisecond)
	}
	changes, ok := call.(ReadChanges)
	if ok && changes.From == m.end() && m.now.Before(waitsUntil) {
		m.after(10*time.Millisecond, func() { m.call(i, call, waitsUntil) })
		return
	}
	update := Update{Snapshot: true, Next: m.end(), Records: m.newestRecords()}
	first := m.first
	if ok && changes.From >= first {
		update = Update{From: changes.From, Next: m.end(), Records: slices.Clone(m.records[changes.From:])}
	}
	if !ok {
		m.newest = append(m.newest, m.now)
	}
	m.after(response, func() {
		if ok && changes.From < first {
			m.dropped(i, Dropped{From: changes.From, First: first})
			return
		}
		m.relay(i, update)
		m.record(i, StoreUpdate{Update: update}, update)
		m.follow(i)
	})
}

func (m *model) dropped(i int, dropped Dropped) {
	in := m.instances[i]
	if !m.readsForAll(i) {
		dropped.Delay = m.upTo(NewestSpread)
	}
	in.reader.Record(m.now, dropped)
	if dropped.Delay == 0 && !in.reader.Follows() {
		m.call(i, ReadNewest{}, m.now)
		return
	}
	m.fetchNow(i)
	m.follow(i)
}

func (m *model) newestRecords() (records []platform.Record) {
	for _, record := range Newest(m.records) {
		if record.Value != nil {
			records = append(records, record)
		}
	}
	return records
}

func (m *model) record(i int, evidence Evidence, update Update) {
	in := m.instances[i]
	switch in.reader.Record(m.now, evidence) {
	case Changes:
		in.cache.Apply(update)
	case Everything:
		in.cache.Replace(update.Records, update.Next)
	}
}

// relay pushes what was read if this instance reads for all, and else announces it.
func (m *model) relay(i int, update Update) {
	in := m.instances[i]
	next, _ := in.reader.Position()
	push := in.cache.ChangesOf(update)
	offsetOnly := push.Snapshot || m.large && len(push.Records) > 0
	if offsetOnly {
		push = Update{From: update.Next, Next: update.Next}
	}
	for _, j := range m.linked(i) {
		switch {
		case m.readsForAll(i):
			m.send(i, j, func() { m.pushed(i, j, push, offsetOnly) })
		case update.Next > max(next, in.heardNext):
			m.send(i, j, func() { m.announced(i, j, update.Next) })
		}
	}
}

func (m *model) pushed(i, j int, push Update, offsetOnly bool) {
	m.record(j, Push{Update: push}, push)
	if next, complete := m.instances[j].reader.Position(); complete && next >= push.Next {
		return
	}
	if offsetOnly || len(push.Records) == 0 {
		m.instances[j].reader.ReadOnce()
	}
	m.announced(i, j, push.Next)
}

func (m *model) announced(i, j int, offset platform.Offset) {
	in := m.instances[j]
	in.heardNext = max(in.heardNext, offset)
	if next, _ := in.reader.Position(); offset > next {
		in.fetch.Announce(m.now, id(i), offset)
		m.fetchNow(j)
	}
}

func id(i int) instancelist.ID { return instancelist.ID(fmt.Sprint(i)) }

func (m *model) fetchLoop(i int) {
	m.fetchNow(i)
	delay := 250 * time.Millisecond
	if m.instances[i].fetch.Active() {
		delay = 50 * time.Millisecond
	}
	m.after(delay, func() { m.fetchLoop(i) })
}

// fetchNow asks a peer if one is to be asked now.
func (m *model) fetchNow(i int) {
	in := m.instances[i]
	next, complete := in.reader.Position()
	situation := Situation{Position: next, Overdue: in.reader.Overdue(m.now, max(m.wait, m.interval)), StoreFails: in.reader.Fails()}
	for _, j := range m.linked(i) {
		situation.Peers = append(situation.Peers, id(j))
	}
	to, ok := in.fetch.Next(m.now, situation, m.IntN)
	if !ok {
		return
	}
	if !complete {
		next = 0
	}
	j := slices.IndexFunc(m.instances, func(p *modelInstance) bool { return id(slices.Index(m.instances, p)) == to })
	m.send(i, j, func() {
		answer, newer := m.instances[j].cache.Since(next)
		position, _ := m.instances[j].reader.Position()
		m.send(j, i, func() {
			if newer {
				m.record(i, Copy{Update: answer}, answer)
			} else {
				m.announced(j, i, position)
			}
			in.fetch.Answered(m.now, to)
		})
	})
}

// disturb changes one thing at random.
func (m *model) disturb() {
	i, j := m.IntN(len(m.instances)), m.IntN(len(m.instances))
	switch m.IntN(6) {
	case 0, 1:
		m.write()
	case 2:
		m.first = m.end()
	case 3, 4:
		m.instances[i].store = storeState(m.IntN(int(storeStates)))
	case 5:
		link := [2]int{min(i, j), max(i, j)}
		m.cut[link] = !m.cut[link]
	}
}

// TestProveReadersBecomeCurrent disturbs a store and the instances that follow it: the store drops its history,
// turns instances away, is silent or late, links are cut, and what was sent into them comes late. Once that has
// ended but for dropped history and instances that the store turns away, each instance must know a new record in
// time, as long as one reaches the store. It guards against instances that go on with an old list for good.
func TestProveReadersBecomeCurrent(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		interval, wait := 600*time.Millisecond, time.Duration(0)
		if rapid.Bool().Draw(t, "waits") {
			interval, wait = 0, 800*time.Millisecond
		}
		m := newModel(seed, rapid.IntRange(1, 6).Draw(t, "instances"), interval, wait)
		for range rapid.IntRange(0, 60).Draw(t, "disturbances") {
			m.runFor(m.upTo(400 * time.Millisecond))
			m.disturb()
		}
		clear(m.cut)
		reaches := m.IntN(len(m.instances))
		for i, in := range m.instances {
			if in.store != storeRefuses || i == reaches {
				in.store = storeSound
			}
		}
		for end := m.now.Add(stableWindow); m.now.Before(end); m.runFor(m.upTo(300 * time.Millisecond)) {
			m.write()
			if m.IntN(3) == 0 {
				m.first = m.end()
			}
		}
		m.write()
		written := m.end()
		if m.IntN(2) == 0 {
			m.first = m.end()
		}
		m.runFor(knownWithin)
		for i, in := range m.instances {
			if next, _ := in.reader.Position(); next < written {
				t.Fatalf("instance %d of %d is at %d, want %d (large %v)", i, len(m.instances), next, written, m.large)
			}
			known, _ := in.cache.Since(0)
			want := m.newestRecords()
			for _, records := range [][]platform.Record{known.Records, want} {
				slices.SortFunc(records, func(a, b platform.Record) int { return int(a.Offset - b.Offset) })
			}
			assert.DeepEqual(t, known.Records, want)
		}
	})
}

// TestNewestIsNotReadByAllAtOnce guards against a zone whose instances all read the newest records at one moment,
// after the store has dropped its history, also while they have just lost the one that reads for all.
func TestNewestIsNotReadByAllAtOnce(t *testing.T) {
	const zone, moment = 42, 20 * time.Millisecond
	for seed := range uint64(20) {
		m := newModel(seed, zone, 600*time.Millisecond, 0)
		steady := func(d time.Duration) {
			for end := m.now.Add(d); m.now.Before(end); m.runFor(50 * time.Millisecond) {
				m.write()
			}
		}
		steady(5 * time.Second)
		before := len(m.newest)
		if seed%2 == 0 {
			m.instances[0].store = storeRefuses
			for i := 1; i < zone; i++ {
				m.cut[[2]int{0, i}] = true
			}
			steady(time.Second) // until the others read themselves
		}
		m.write()
		m.first = m.end()
		written := m.end()
		steady(knownWithin)
		reads := m.newest[before:]
		for i, at := range reads {
			if i+zone/4 < len(reads) && reads[i+zone/4].Sub(at) < moment {
				t.Errorf("seed %d: more than a quarter of the zone read at one moment (%d reads in all)", seed, len(reads))
				break
			}
		}
		for i, in := range m.instances {
			if next, _ := in.reader.Position(); next < written && (i > 0 || seed%2 == 1) {
				t.Errorf("seed %d: instance %d is at %d, want %d", seed, i, next, written)
			}
		}
		t.Logf("seed %d: %d reads of %d instances", seed, len(reads), zone)
	}
}
