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

// matrixInjections returns each step from the publication of a document to its
// checkpoint, with each fault that can occur there.
func matrixInjections() []prove.Injection {
	appends := prove.Injections([]string{"publish", "promote"},
		[]string{"kill", "pause", "cut-log", "lost-answer", "late-append", "duplicate", "trimmed", "raced"})
	results := prove.Injections([]string{"publish-verdict", "promote-verdict"}, []string{"kill", "pause", "cut-log", "trimmed"})
	checkpoints := prove.Injections([]string{"checkpoint"},
		[]string{"kill", "cut-log", "late-append", "duplicate", "trimmed", "raced"})
	return slices.Concat(appends, results, checkpoints)
}

// scenario publishes and promotes one document through an instance with injected
// faults, while other instances read the log.
type scenario struct {
	sim    *simulation
	faults map[string][]string
	// reported is what the operator gets at each step: "Accepted" and "Refused" are
	// results of the log, "refused" a refusal without an append, "given-up" a
	// time-out, and "cut" means that the instance restarted before a result.
	reported map[string]string
	now      time.Time
}

func runScenario(faults map[string][]string) *scenario {
	s := &scenario{sim: newSimulation(noBug), faults: faults, reported: map[string]string{}, now: time.Unix(0, 0)}
	s.publish("publish", environment.Trial, "one")
	s.readAll()
	s.publish("promote", environment.Production, "one")
	s.readAll()
	s.checkpoint()
	s.settle()
	return s
}

func (s *scenario) firstInstance() *State { return s.sim.instances[0] }

func (s *scenario) has(step, fault string) bool {
	for _, f := range s.faults[step] {
		if f == fault {
			return true
		}
	}
	return false
}

// publish runs a Publisher with the faults of two steps: the append (step) and the
// wait for the result (step-verdict).
func (s *scenario) publish(step string, stage environment.Stage, text string) {
	s.reported[step] = "refused"
	inst := s.firstInstance()
	if !inst.Complete() {
		return
	}
	key := Key{Environment: "bench", Stage: stage}
	body := []byte(text)
	p := Publication{
		Environment: key.Environment, Stage: stage, Base: inst.Entry(key).Version,
		Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: NoVersion,
	}
	if stage == environment.Production {
		if p.Promotes = inst.TrialVersionOf(key.Environment, p.Digest); p.Promotes == NoVersion {
			return
		}
	}
	if s.has(step, "raced") {
		conflicting := p
		conflicting.ID = uuid.New()
		s.sim.appendToLog(conflicting)
	}
	publisher := NewPublisher(p, s.now.Add(publishTimeout))
	s.runPublisher(step, publisher, p)
}

// runPublisher runs a publisher until it ends. Most faults of the step apply only to
// its first append.
func (s *scenario) runPublisher(step string, publisher *Publisher, p Publication) {
	actions := publisher.Start()
	first := true
	for round := 0; round < 200; round++ {
		for _, action := range actions {
			switch a := action.(type) {
			case AppendPublication:
				s.step(publisher, s.append(step, p, first))
				first = false
			case PublishDone:
				s.reported[step] = strings.TrimPrefix(fmt.Sprintf("%T", a.Result), "document.")
				return
			case PublishTimedOut:
				s.reported[step] = "given-up"
				return
			}
		}
		actions = nil
		if s.has(step+"-verdict", "kill") {
			s.sim.instances[0] = NewState()
			s.reported[step] = "cut"
			return
		}
		if round == 0 && s.has(step+"-verdict", "pause") {
			s.now = s.now.Add(time.Minute)
		}
		s.now = s.now.Add(publishTickInterval)
		if s.now.Sub(time.Unix(0, 0)) > publishUncertainDelay*3/2 {
			s.appendDelayed()
		}
		if s.has(step+"-verdict", "cut-log") && round < 100 {
			continue
		}
		for _, v := range s.read(s.firstInstance()) {
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

// append appends a publication and returns the event for it. Most faults of the
// step apply only to its first append.
func (s *scenario) append(step string, p Publication, first bool) PublisherEvent {
	switch {
	case first && s.has(step, "cut-log"):
		return PublishRefused{}
	case first && s.has(step, "lost-answer"):
		s.sim.appendToLog(p)
		return PublishUncertain{}
	case first && s.has(step, "late-append"):
		s.sim.delayed = append(s.sim.delayed, p)
		return PublishUncertain{}
	case first && s.has(step, "kill"):
		s.sim.appendToLog(p)
		s.sim.instances[0] = NewState()
		return PublishUncertain{}
	case first && s.has(step, "pause"):
		s.now = s.now.Add(time.Minute)
	}
	s.sim.appendToLog(p)
	if s.has(step, "duplicate") {
		s.sim.appendToLog(p)
	}
	if s.has(step, "trimmed") || s.has(step+"-verdict", "trimmed") {
		s.sim.first += logservice.Offset(len(s.sim.log))
		s.sim.log = nil
	}
	return PublishAppended{}
}

func (s *scenario) appendDelayed() {
	for _, record := range s.sim.delayed {
		s.sim.appendToLog(record)
	}
	s.sim.delayed = nil
}

// read lets an instance read to the end of the log and returns the results.
func (s *scenario) read(inst *State) []Result {
	var results []Result
	if inst.Next() < s.sim.first {
		inst.HandleTrim(s.sim.first)
	}
	for index := int(inst.Next() - s.sim.first); index < len(s.sim.log); index++ {
		more, err := inst.Apply(s.sim.log[index])
		if err != nil {
			s.sim.violation = err
		}
		results = append(results, more...)
	}
	return results
}

// readAll lets all instances read to the end of the log and then exchange snapshots.
func (s *scenario) readAll() {
	for _, inst := range s.sim.instances[1:] {
		s.read(inst)
	}
	s.read(s.firstInstance())
	for _, from := range s.sim.instances {
		if snapshot, ok := from.Snapshot(); ok {
			for _, to := range s.sim.instances {
				if _, err := to.InstallSnapshot(snapshot); err != nil {
					s.sim.violation = err
				}
			}
		}
	}
}

func (s *scenario) checkpoint() {
	snapshot, ok := s.sim.instances[1].Snapshot()
	if !ok || snapshot.AsOf < 0 {
		return
	}
	if s.has("checkpoint", "raced") {
		s.publish("publish", environment.Trial, "two")
		s.reported["publish"] = "Accepted"
	}
	switch {
	case s.has("checkpoint", "cut-log"):
	case s.has("checkpoint", "late-append"):
		s.sim.delayed = append(s.sim.delayed, snapshot)
	default:
		s.sim.appendToLog(snapshot)
	}
	if s.has("checkpoint", "duplicate") {
		s.sim.appendToLog(snapshot)
	}
	if s.has("checkpoint", "trimmed") {
		drop := len(s.sim.log) - 1
		s.sim.first += logservice.Offset(drop)
		s.sim.log = s.sim.log[drop:]
	}
	if s.has("checkpoint", "kill") {
		s.sim.instances[1] = NewState()
	}
}

// settle ends all faults, replaces one instance by a new one and checks that the
// states are the same.
func (s *scenario) settle() {
	s.appendDelayed()
	s.sim.instances[2] = NewState()
	s.readAll()
	for _, inst := range s.sim.instances {
		if err := s.sim.checkState(inst); err != nil && s.sim.violation == nil {
			s.sim.violation = err
		}
	}
}

func (s *scenario) row(step, fault string) string {
	complete := 0
	for _, inst := range s.sim.instances {
		if inst.Complete() {
			complete++
		}
	}
	trial := s.sim.reference.Entry(Key{"bench", environment.Trial})
	production := s.sim.reference.Entry(Key{"bench", environment.Production})
	return fmt.Sprintf("%-16s %-12s publish=%-8s promote=%-8s trial=%-2d production=%-2d whole=%d",
		step, fault, s.reported["publish"], s.reported["promote"], trial.Version, production.Version, complete)
}

// TestFaultMatrix injects each fault at each step of a publication, a promotion and a
// checkpoint. It compares the results that operators get and the active versions with
// testdata/faults.txt.
func TestFaultMatrix(t *testing.T) {
	prove.Matrix(t, matrixInjections(), matrixScenario)
}

// TestFaultPairs injects each pair of faults and checks only the invariants.
func TestFaultPairs(t *testing.T) {
	prove.Pairs(t, matrixInjections(), matrixScenario)
}

func matrixScenario(injections ...prove.Injection) (string, error) {
	s := runScenario(prove.FaultsByStep(injections))
	return s.row(injections[0].Step, injections[0].Fault), s.sim.violation
}
