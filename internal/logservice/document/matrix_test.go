package document

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// matrixInjections returns every fault that can meet every step of a document's
// way into force.
func matrixInjections() []prove.Injection {
	appends := prove.Injections([]string{"publish", "promote"},
		[]string{"kill", "pause", "cut-log", "lost-answer", "late-append", "duplicate", "trimmed", "raced"})
	verdicts := prove.Injections([]string{"publish-verdict", "promote-verdict"}, []string{"kill", "pause", "cut-log", "trimmed"})
	checkpoints := prove.Injections([]string{"checkpoint"},
		[]string{"kill", "cut-log", "late-append", "duplicate", "trimmed", "raced"})
	return slices.Concat(appends, verdicts, checkpoints)
}

// scenario publishes and promotes one document through an instance that meets
// faults, while another instance reads along.
type scenario struct {
	w      *world
	faults map[string][]string
	told   map[string]string
	now    time.Time
}

func runScenario(faults map[string][]string) *scenario {
	s := &scenario{w: newWorld(noFlaw), faults: faults, told: map[string]string{}, now: time.Unix(0, 0)}
	s.publish("publish", environment.Trial, "one")
	s.readAll()
	s.publish("promote", environment.Production, "one")
	s.readAll()
	s.checkpoint()
	s.settle()
	return s
}

func (s *scenario) node() *State { return s.w.nodes[0] }

func (s *scenario) has(step, fault string) bool {
	for _, f := range s.faults[step] {
		if f == fault {
			return true
		}
	}
	return false
}

// publish drives a Publisher with the faults of its two steps.
func (s *scenario) publish(step string, stage environment.Stage, text string) {
	s.told[step] = "refused"
	n := s.node()
	if !n.Complete() {
		return
	}
	key := Key{Environment: "bench", Stage: stage}
	body := []byte(text)
	p := Publication{
		Environment: key.Environment, Stage: stage, Base: n.Entry(key).Version,
		Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: NoVersion,
	}
	if stage == environment.Production {
		if p.Promotes = n.TrialVersionOf(key.Environment, p.Digest); p.Promotes == NoVersion {
			return
		}
	}
	if s.has(step, "raced") {
		rival := p
		rival.ID = uuid.New()
		s.w.land(rival)
	}
	publisher := NewPublisher(p, s.now.Add(publishTimeout))
	s.drive(step, publisher, p)
}

// drive runs a publisher to its end; its first append meets the faults.
func (s *scenario) drive(step string, publisher *Publisher, p Publication) {
	actions := publisher.Start()
	first := true
	for round := 0; round < 200; round++ {
		for _, action := range actions {
			switch a := action.(type) {
			case AppendPublication:
				s.step(publisher, s.append(step, p, first))
				first = false
			case PublishDone:
				s.told[step] = strings.TrimPrefix(fmt.Sprintf("%T", a.Result), "document.")
				return
			case PublishTimedOut:
				s.told[step] = "given-up"
				return
			}
		}
		actions = nil
		if s.has(step+"-verdict", "kill") {
			s.w.nodes[0] = NewState()
			s.told[step] = "cut"
			return
		}
		if round == 0 && s.has(step+"-verdict", "pause") {
			s.now = s.now.Add(time.Minute)
		}
		s.now = s.now.Add(publishTick)
		if s.now.Sub(time.Unix(0, 0)) > publishSearch*3/2 {
			s.landLate()
		}
		if s.has(step+"-verdict", "cut-log") && round < 100 {
			continue
		}
		for _, v := range s.read(s.node()) {
			actions = append(actions, publisher.Handle(s.now, PublishResult{Result: v})...)
		}
		actions = append(actions, publisher.Handle(s.now, PublishTick{})...)
	}
}

func (s *scenario) step(publisher *Publisher, event PublisherEvent) {
	if event != nil {
		publisher.Handle(s.now, event)
	}
}

// append ends an append; only the first of a step meets its faults.
func (s *scenario) append(step string, p Publication, first bool) PublisherEvent {
	switch {
	case first && s.has(step, "cut-log"):
		return PublishRefused{}
	case first && s.has(step, "lost-answer"):
		s.w.land(p)
		return PublishUncertain{}
	case first && s.has(step, "late-append"):
		s.w.late = append(s.w.late, p)
		return PublishUncertain{}
	case first && s.has(step, "kill"):
		s.w.land(p)
		s.w.nodes[0] = NewState()
		return PublishUncertain{}
	case first && s.has(step, "pause"):
		s.now = s.now.Add(time.Minute)
	}
	s.w.land(p)
	if s.has(step, "duplicate") {
		s.w.land(p)
	}
	if s.has(step, "trimmed") || s.has(step+"-verdict", "trimmed") {
		s.w.first += logservice.Offset(len(s.w.log))
		s.w.log = nil
	}
	return PublishAppended{}
}

func (s *scenario) landLate() {
	for _, record := range s.w.late {
		s.w.land(record)
	}
	s.w.late = nil
}

// read lets a node read to the end and returns the verdicts.
func (s *scenario) read(n *State) []Result {
	var verdicts []Result
	if n.Next() < s.w.first {
		n.HandleTrim(s.w.first)
	}
	for at := int(n.Next() - s.w.first); at < len(s.w.log); at++ {
		more, err := n.Apply(s.w.log[at])
		if err != nil {
			s.w.fault = err
		}
		verdicts = append(verdicts, more...)
	}
	return verdicts
}

// readAll lets the other nodes read, and those with gaps hear from a peer.
func (s *scenario) readAll() {
	for _, n := range s.w.nodes[1:] {
		s.read(n)
	}
	s.read(s.node())
	for _, from := range s.w.nodes {
		if snapshot, ok := from.Snapshot(); ok {
			for _, to := range s.w.nodes {
				if _, err := to.InstallSnapshot(snapshot); err != nil {
					s.w.fault = err
				}
			}
		}
	}
}

func (s *scenario) checkpoint() {
	snapshot, ok := s.w.nodes[1].Snapshot()
	if !ok || snapshot.AsOf < 0 {
		return
	}
	if s.has("checkpoint", "raced") {
		s.publish("publish", environment.Trial, "two")
		s.told["publish"] = "Accepted"
	}
	switch {
	case s.has("checkpoint", "cut-log"):
	case s.has("checkpoint", "late-append"):
		s.w.late = append(s.w.late, snapshot)
	default:
		s.w.land(snapshot)
	}
	if s.has("checkpoint", "duplicate") {
		s.w.land(snapshot)
	}
	if s.has("checkpoint", "trimmed") {
		drop := len(s.w.log) - 1
		s.w.first += logservice.Offset(drop)
		s.w.log = s.w.log[drop:]
	}
	if s.has("checkpoint", "kill") {
		s.w.nodes[1] = NewState()
	}
}

// settle ends every fault; a fresh instance joins.
func (s *scenario) settle() {
	s.landLate()
	s.w.nodes[2] = NewState()
	s.readAll()
	for _, n := range s.w.nodes {
		if err := s.w.agree(n); err != nil && s.w.fault == nil {
			s.w.fault = err
		}
	}
}

func (s *scenario) row(step, fault string) string {
	whole := 0
	for _, n := range s.w.nodes {
		if n.Complete() {
			whole++
		}
	}
	trial := s.w.truth.Entry(Key{"bench", environment.Trial})
	production := s.w.truth.Entry(Key{"bench", environment.Production})
	return fmt.Sprintf("%-16s %-12s publish=%-8s promote=%-8s trial=%-2d production=%-2d whole=%d",
		step, fault, s.told["publish"], s.told["promote"], trial.Version, production.Version, whole)
}

// TestFaultMatrix meets a document with every fault at every step of its way
// and compares what operators are told and what is in force with
// testdata/faults.txt.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, matrixInjections(), matrixScenario)
}

// TestFaultPairs meets a document with every two faults at every two steps.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, matrixInjections(), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	s := runScenario(prove.FaultsByStep(injections))
	return s.row(injections[0].Step, injections[0].Fault), s.w.fault
}
