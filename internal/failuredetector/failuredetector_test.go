package failuredetector

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

var start = time.Unix(1000, 0)

const testGap = 200 * time.Millisecond

// simStream is a stream whose events come at an interval with some jitter.
type simStream struct {
	id       StreamID
	path     []Stage
	interval time.Duration
	last     time.Time
}

// happening is the next event of a stream, or the answer of a stage to a probe.
type happening struct {
	at     time.Time
	stream *simStream // nil for an answer
	answer deployment.Address
}

// schedule is a heap of what is to happen, the earliest first.
type schedule []happening

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(happening)) }
func (s *schedule) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	*s = (*s)[:last]
	return x
}

// world simulates stages, streams and probes around a Detector.
type world struct {
	random    *rand.Rand
	now       time.Time
	detector  *Detector
	streams   []*simStream
	queue     schedule
	nextStep  time.Time
	hung      map[deployment.Address]bool
	latency   func(zone deployment.Zone) time.Duration // of a connection
	suspected map[deployment.Address]time.Time
	probes    int
}

func newWorld(seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, 1))
	return &world{
		random: random, now: start, detector: New(start), nextStep: start, hung: map[deployment.Address]bool{}, suspected: map[deployment.Address]time.Time{},
		latency: func(deployment.Zone) time.Duration {
			return 400*time.Microsecond + time.Duration(random.IntN(1100))*time.Microsecond
		},
	}
}

// path returns stages named by a prefix and numbers.
func path(prefix string, zone deployment.Zone, stages int) []Stage {
	var list []Stage
	for i := range stages {
		list = append(list, Stage{Address: deployment.Address(fmt.Sprintf("%s%d", prefix, i)), Zone: zone})
	}
	return list
}

func (w *world) add(count int, interval time.Duration, along []Stage) {
	for range count {
		s := &simStream{id: w.detector.Begin(w.now, testGap, along), path: along, interval: interval}
		heap.Push(&w.queue, happening{at: w.now.Add(time.Duration(w.random.Int64N(int64(interval)))), stream: s})
		w.streams = append(w.streams, s)
	}
}

func (w *world) blocked(s *simStream) bool {
	for _, stage := range s.path {
		if w.hung[stage.Address] {
			return true
		}
	}
	return false
}

// run simulates a time. Streams through hung stages have no events.
func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now.Before(end); {
		if len(w.queue) > 0 && w.queue[0].at.Before(w.nextStep) {
			w.deliver(heap.Pop(&w.queue).(happening))
			continue
		}
		w.now = later(w.now, w.nextStep)
		w.step()
	}
}

func (w *world) deliver(due happening) {
	w.now = later(w.now, due.at)
	s := due.stream
	if s == nil {
		w.detector.Answered(w.now, due.answer)
		return
	}
	if !w.blocked(s) {
		w.detector.Event(w.now, s.id)
		s.last = w.now
	}
	jitter := (w.random.Float64() + w.random.Float64() - 1) * 0.2
	due.at = due.at.Add(s.interval + time.Duration(jitter*float64(s.interval)))
	heap.Push(&w.queue, due)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *world) step() {
	step := w.detector.Step(w.now)
	for _, suspicion := range step.Suspected {
		if _, known := w.suspected[suspicion.Address]; !known {
			w.suspected[suspicion.Address] = w.now
		}
	}
	for _, address := range step.Probes {
		w.probes++
		if !w.hung[address] {
			heap.Push(&w.queue, happening{at: w.now.Add(w.latency(deployment.Zone(address[0]))), answer: address})
		}
	}
	w.nextStep = w.now.Add(step.Next)
}

// standStill lets the instance have no processor time: what arrives waits to be read, and
// the detector may be asked before it is.
func (w *world) standStill(length time.Duration) {
	w.now = w.now.Add(length)
	w.nextStep = w.now.Add(step(w.random))
	w.step()
}

func step(random *rand.Rand) time.Duration { return time.Duration(random.IntN(3)) * time.Millisecond }

// TestUnresponsiveStagesAreSuspectedInTime guards against stages that are lost together and
// noticed only after their streams have paused for longer than the target gap allows.
func TestUnresponsiveStagesAreSuspectedInTime(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		for seed := range uint64(40) {
			w := newWorld(seed)
			w.add(5, time.Duration(20+20*(seed%3))*time.Millisecond, path("a", "a", 10))
			w.add(3, 30*time.Millisecond, path("b", "a", 8))
			w.run(time.Second + time.Duration(seed)*7*time.Millisecond)
			var last time.Time
			for i := range lost {
				w.hung[deployment.Address(fmt.Sprintf("a%d", 3*i))] = true
			}
			w.run(300 * time.Millisecond)
			for _, s := range w.streams[:5] {
				if s.last.After(last) {
					last = s.last
				}
			}
			assert.Equal(t, len(w.suspected), lost, "seed %d", seed)
			for address, at := range w.suspected {
				assert.Assert(t, w.hung[address])
				assert.Assert(t, at.Sub(last) <= 100*time.Millisecond, "seed %d: %s after %s", seed, address, at.Sub(last))
			}
		}
	}
}

// TestHealthyStagesAreNotSuspected guards against streams that are moved although no stage was
// lost, for one condition each that makes them silent.
func TestHealthyStagesAreNotSuspected(t *testing.T) {
	conditions := map[string]func(w *world){
		"slow stage": func(w *world) {
			w.streams[0].interval *= 12
			w.run(10 * time.Second)
		},
		"slow link between zones": func(w *world) {
			w.latency = func(zone deployment.Zone) time.Duration {
				if zone == "b" {
					return 30*time.Millisecond + time.Duration(w.random.IntN(60))*time.Millisecond
				}
				return time.Millisecond
			}
			w.streams[1].interval *= 12
			w.run(10 * time.Second)
		},
		"no processor time": func(w *world) {
			for range 200 {
				w.run(time.Duration(20+w.random.IntN(200)) * time.Millisecond)
				w.standStill(time.Duration(20+w.random.IntN(300)) * time.Millisecond)
			}
		},
		"links lost": func(w *world) {
			for _, s := range w.streams {
				for _, stage := range s.path {
					w.hung[stage.Address] = true
				}
			}
			w.run(10 * time.Second)
		},
		"stands still for a moment": func(w *world) {
			for range 20 {
				w.hung["a3"] = true
				w.run(30 * time.Millisecond)
				w.hung["a3"] = false
				w.run(time.Second)
			}
		},
		"false reports": func(w *world) {
			w.streams[0].interval *= 12
			for range 100 {
				w.detector.Reported(w.now, "a3")
				w.detector.Reported(w.now, "b3")
				w.run(70 * time.Millisecond)
			}
		},
	}
	for name, condition := range conditions {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := newWorld(seed)
				w.add(1, 50*time.Millisecond, path("a", "a", 10))
				w.add(1, 60*time.Millisecond, path("b", "b", 8))
				w.add(4, 40*time.Millisecond, path("c", "a", 8))
				w.run(time.Second)
				condition(w)
				assert.Equal(t, len(w.suspected), 0, "seed %d: %v", seed, w.suspected)
				assert.Assert(t, w.probes > 0)
			}
		})
	}
}

// TestReportOfOnePeerIsAcceptedOnceOwnStreamsAreSilent guards against streams that wait for an
// own probe, or a second peer, while a peer's report already explains their silence.
func TestReportOfOnePeerIsAcceptedOnceOwnStreamsAreSilent(t *testing.T) {
	w := newWorld(1)
	w.add(3, 30*time.Millisecond, path("a", "a", 10))
	w.run(time.Second)
	w.hung["a3"] = true
	w.run(20 * time.Millisecond)
	assert.Assert(t, w.detector.Reported(w.now, "a3"))
	assert.Assert(t, !w.detector.Reported(w.now, "z"), "no own streams")
	w.run(45 * time.Millisecond)
	assert.Assert(t, !w.suspected["a3"].IsZero())
}

// TestFalseSuspicionsAreRare guards against suspicions of healthy stages by chance: in calm,
// slow and loaded streams, with lost packets and moments without processor time, there is less
// than one in 1,000 stage-hours. Without MULBERRYHEAD_STAGE_HOURS it runs few of these.
func TestFalseSuspicionsAreRare(t *testing.T) {
	const paths, stages = 40, 13
	stageHours := 5
	if text := os.Getenv("MULBERRYHEAD_STAGE_HOURS"); text != "" {
		var err error
		stageHours, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	w := newWorld(uint64(time.Now().UnixNano()))
	for i := range paths {
		w.add(1+i%2, time.Duration(20+w.random.IntN(140))*time.Millisecond, path(fmt.Sprintf("a%d-", i), "a", stages))
	}
	connect := w.latency
	w.latency = func(zone deployment.Zone) time.Duration {
		if w.random.IntN(10_000) == 0 {
			return time.Second // the first packet was lost and is sent again
		}
		return connect(zone)
	}
	for began := w.now; w.now.Sub(began) < time.Duration(stageHours)*time.Hour/(paths*stages); {
		w.run(time.Duration(w.random.IntN(4000)) * time.Millisecond)
		if w.random.IntN(4) == 0 {
			w.streams[w.random.IntN(len(w.streams))].interval = time.Duration(20+w.random.IntN(600)) * time.Millisecond
		}
		w.standStill(time.Duration(w.random.IntN(120)) * time.Millisecond)
	}
	t.Logf("%d stage-hours: %d suspicions, %d probes", stageHours, len(w.suspected), w.probes)
	assert.Equal(t, len(w.suspected), 0, "%v", w.suspected)
}

func BenchmarkStep(b *testing.B) {
	w := newWorld(1)
	for i := range 8 {
		w.add(5, 50*time.Millisecond, path(fmt.Sprintf("a%d-", i), "a", 13))
	}
	w.run(time.Second)
	for b.Loop() {
		w.detector.Step(w.now)
	}
}
