package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// injectedBug is a bug that the simulation adds to the code under test, to show
// that the invariant checks detect it.
type injectedBug int

const (
	noBug injectedBug = iota
	// checkpointOverwrites replaces the state by every checkpoint, also an older one.
	checkpointOverwrites
	// staleCheckpointTrusted fills a gap from a checkpoint that does not cover it.
	staleCheckpointTrusted
	// gapIgnored continues to validate publications after records were missed.
	gapIgnored
	// promotionByDigest validates a promotion by its digest, which can be
	// published to trial again.
	promotionByDigest
	// partTreatedAsComplete restores the state from one part of a checkpoint.
	partTreatedAsComplete
	// olderSnapshotAdopted installs a peer's snapshot that is behind.
	olderSnapshotAdopted
)

// simulation is a log and several instances through which operators publish
// concurrently.
type simulation struct {
	bug   injectedBug
	now   time.Time
	log   []logservice.Record
	first logservice.Offset
	// reference has read every record; states holds its entries after each.
	reference *State
	states    [][]Entry
	accepted  map[PublishID]bool
	refused   map[PublishID]bool
	instances []*State
	delayed   []Record
	queued    []Record
	violation error
	trace     []string
}

const (
	instanceCount = 3
	stepCount     = 120
)

var (
	proofKeys = []Key{
		{Environment: "bench", Stage: environment.Trial}, {Environment: "bench", Stage: environment.Production},
		{Environment: "kiosk", Stage: environment.Trial},
	}
	proofBodies = [][]byte{[]byte("one"), []byte("two"), []byte("three")}
)

func newSimulation(bug injectedBug) *simulation {
	sim := &simulation{
		bug: bug, now: time.Unix(0, 0), reference: NewState(),
		accepted: map[PublishID]bool{}, refused: map[PublishID]bool{},
	}
	for range instanceCount {
		sim.instances = append(sim.instances, NewState())
	}
	return sim
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf(format, args...))
}

// publish queues a publication that is based on the state of an instance.
func (sim *simulation) publish(c prove.Chooser, inst *State) {
	if !inst.Complete() {
		return
	}
	key := proofKeys[c.Choose(len(proofKeys))]
	body := proofBodies[c.Choose(len(proofBodies))]
	p := Publication{
		Environment: key.Environment, Stage: key.Stage, Base: inst.Entry(key).Version,
		Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: NoVersion,
	}
	if key.Stage == environment.Production {
		// The promotion is queued even if the document was never in trial, as
		// by a build that does not check this before the append.
		p.Promotes = inst.TrialVersionOf(key.Environment, p.Digest)
	}
	sim.queued = append(sim.queued, p)
}

func (sim *simulation) appendToLog(record Record) {
	body, err := EncodeRecord(record)
	if err != nil {
		panic(err)
	}
	r := logservice.Record{Offset: sim.first + logservice.Offset(len(sim.log)), Time: sim.now, Body: body}
	sim.tracef("log %d: %T %+v", r.Offset, record, record)
	sim.log = append(sim.log, r)
	results, err := sim.reference.Apply(sim.withInjectedBug(sim.reference, r))
	if err != nil {
		panic(err)
	}
	for _, v := range results {
		switch v := v.(type) {
		case Accepted:
			sim.accepted[v.Entry.ID] = true
			if sim.refused[v.Entry.ID] {
				sim.violation = fmt.Errorf("publication %s took effect after it was refused", v.Entry.ID)
			}
		case Refused:
			sim.refused[v.ID] = true
		}
	}
	sim.states = append(sim.states, sim.reference.Entries())
}

// withInjectedBug returns the record changed so that a promotion is validated by
// its digest, if that bug is injected.
func (sim *simulation) withInjectedBug(inst *State, r logservice.Record) logservice.Record {
	record, _ := DecodeRecord(r.Body)
	p, ok := record.(Publication)
	if sim.bug != promotionByDigest || !ok {
		return r
	}
	p.Promotes = inst.TrialVersionOf(p.Environment, p.Digest)
	r.Body, _ = EncodeRecord(p)
	return r
}

// apply applies a record at an instance, with the injected bug.
func (sim *simulation) apply(inst *State, r logservice.Record) error {
	record, _ := DecodeRecord(r.Body)
	if c, ok := record.(Checkpoint); ok {
		if sim.bug == checkpointOverwrites {
			for _, e := range c.Entries {
				inst.entries[Key{e.Environment, e.Stage}] = e
			}
			inst.complete = true
		}
		if sim.bug == staleCheckpointTrusted {
			inst.gapEnd = 0
		}
		if sim.bug == partTreatedAsComplete {
			c.Part, c.Parts = 0, 1
			r.Body, _ = EncodeRecord(c)
		}
	}
	results, err := inst.Apply(sim.withInjectedBug(inst, r))
	if err != nil {
		return err
	}
	for _, v := range results {
		if v, ok := v.(Accepted); ok && !sim.accepted[v.Entry.ID] {
			return fmt.Errorf("an instance accepted a publication that the reference refused: %+v", v.Entry)
		}
	}
	return nil
}

func (sim *simulation) read(inst *State) error {
	if inst.Next() < sim.first {
		if sim.bug == gapIgnored {
			inst.next = sim.first
		} else {
			inst.HandleTrim(sim.first)
		}
	}
	index := int(inst.Next() - sim.first)
	if index >= len(sim.log) {
		return nil
	}
	if err := sim.apply(inst, sim.log[index]); err != nil {
		return err
	}
	return sim.checkState(inst)
}

// checkState checks that a complete state has the same entries as the reference
// had after the same prefix of the log.
func (sim *simulation) checkState(inst *State) error {
	want := []Entry{}
	if inst.Next() > 0 {
		want = sim.states[inst.Next()-1]
	}
	if inst.Complete() && len(want)+len(inst.Entries()) > 0 && !reflect.DeepEqual(inst.Entries(), want) {
		return fmt.Errorf("an instance at %d holds %+v, want %+v", inst.Next(), inst.Entries(), want)
	}
	return nil
}

func (sim *simulation) step(c prove.Chooser) error {
	sim.now = sim.now.Add(time.Second)
	index := c.Choose(len(sim.instances))
	inst := sim.instances[index]
	switch c.Choose(10) {
	case 0, 1:
		sim.publish(c, inst)
	case 2, 3:
		sim.append(c)
	case 4, 5, 6:
		return sim.read(inst)
	case 7:
		if snapshot, ok := inst.Snapshot(); ok && snapshot.AsOf >= 0 {
			// With the small limit, a part has one entry, so that parts of several
			// checkpoints interleave and some are lost.
			for _, part := range split(snapshot, 1+c.Choose(2)*(1<<20)) {
				sim.queued = append(sim.queued, part)
			}
		}
	case 8:
		return sim.sendSnapshot(inst, sim.instances[c.Choose(len(sim.instances))])
	case 9:
		sim.injectFault(c, index)
	}
	return nil
}

func (sim *simulation) append(c prove.Chooser) {
	if len(sim.delayed) > 0 && c.Choose(3) == 0 {
		i := c.Choose(len(sim.delayed))
		sim.appendToLog(sim.delayed[i])
		sim.delayed = slices.Delete(sim.delayed, i, i+1)
	}
	if len(sim.queued) == 0 {
		return
	}
	i := c.Choose(len(sim.queued))
	record := sim.queued[i]
	switch c.Choose(5) {
	case 0:
		// The append gets no response and takes effect later, and the publisher
		// appends the record again.
		sim.delayed = append(sim.delayed, record)
	case 1:
		sim.appendToLog(record)
	default:
		sim.appendToLog(record)
		sim.queued = slices.Delete(sim.queued, i, i+1)
	}
}

// sendSnapshot installs a snapshot of one instance's state at another.
func (sim *simulation) sendSnapshot(from, to *State) error {
	snapshot, ok := from.Snapshot()
	if !ok || snapshot.AsOf < 0 || from == to {
		return nil
	}
	if sim.bug == olderSnapshotAdopted && snapshot.AsOf < to.next {
		to.next = snapshot.AsOf
	}
	if _, err := to.InstallSnapshot(snapshot); err != nil {
		return err
	}
	return sim.checkState(to)
}

func (sim *simulation) injectFault(c prove.Chooser, index int) {
	if c.Choose(2) == 0 {
		sim.tracef("instance %d restarts", index)
		sim.instances[index] = NewState()
		return
	}
	drop := c.Choose(len(sim.log) + 1)
	sim.first += logservice.Offset(drop)
	sim.log = sim.log[drop:]
	sim.tracef("log now starts at %d", sim.first)
}

func documentsAgree(bug injectedBug) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		sim := newSimulation(bug)
		for range stepCount {
			err := sim.step(c)
			if err == nil {
				err = sim.violation
			}
			if err != nil {
				return fmt.Errorf("%w\n%s", err, strings.Join(sim.trace, "\n"))
			}
		}
		return nil
	}
}

// TestProveDocuments interleaves publications, checkpoints, snapshots, trims and
// restarts at random, and compares the state of every instance with a reference
// that has read every record.
func TestProveDocuments(t *testing.T) {
	prove.Check(t, documentsAgree(noBug))
}

// TestProveDocumentsCatches checks that TestProveDocuments would detect each of
// the injected bugs.
func TestProveDocumentsCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"checkpoint overwrites newer state":     documentsAgree(checkpointOverwrites),
		"stale checkpoint fills a gap":          documentsAgree(staleCheckpointTrusted),
		"gap in the log ignored":                documentsAgree(gapIgnored),
		"promotion validated by digest":         documentsAgree(promotionByDigest),
		"part treated as a complete checkpoint": documentsAgree(partTreatedAsComplete),
		"older snapshot installed":              documentsAgree(olderSnapshotAdopted),
	})
}
