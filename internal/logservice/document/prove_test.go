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

// flaw names a fault that is planted to show that the proof catches it.
type flaw int

const (
	noFlaw flaw = iota
	// checkpointOverwrites takes every checkpoint for the state.
	checkpointOverwrites
	// staleCheckpointTrusted lets a checkpoint fill a gap that it is older than.
	staleCheckpointTrusted
	// gapIgnored goes on judging after records were missed.
	gapIgnored
	// triedByDigest judges a promotion by its digest, which can come back.
	triedByDigest
	// partTakenForWhole restores from one part of a checkpoint.
	partTakenForWhole
	// olderSnapshotAdopted takes a peer's snapshot that is behind.
	olderSnapshotAdopted
)

// world is several instances, operators that race through them, and one log.
type world struct {
	flaw  flaw
	now   time.Time
	log   []logservice.Record
	first logservice.Offset
	// truth has read every record; states holds it after each of them.
	truth    *State
	states   [][]Entry
	accepted map[PublishID]bool
	refused  map[PublishID]bool
	nodes    []*State
	late     []Record
	appends  []Record
	fault    error
	trace    []string
}

const (
	proofNodes = 3
	proofSteps = 120
)

var (
	proofKeys = []Key{
		{Environment: "bench", Stage: environment.Trial}, {Environment: "bench", Stage: environment.Production},
		{Environment: "kiosk", Stage: environment.Trial},
	}
	proofBodies = [][]byte{[]byte("one"), []byte("two"), []byte("three")}
)

func newWorld(f flaw) *world {
	w := &world{
		flaw: f, now: time.Unix(0, 0), truth: NewState(),
		accepted: map[PublishID]bool{}, refused: map[PublishID]bool{},
	}
	for range proofNodes {
		w.nodes = append(w.nodes, NewState())
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

// publish puts a publication from a node's point of view into the queue.
func (w *world) publish(c prove.Chooser, n *State) {
	if !n.Complete() {
		return
	}
	key := proofKeys[c.Choose(len(proofKeys))]
	body := proofBodies[c.Choose(len(proofBodies))]
	p := Publication{
		Environment: key.Environment, Stage: key.Stage, Base: n.Entry(key).Version,
		Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: NoVersion,
	}
	if key.Stage == environment.Production {
		// A build that does not ask first appends a promotion of what was
		// never tried, too.
		p.Promotes = n.TrialVersionOf(key.Environment, p.Digest)
	}
	w.appends = append(w.appends, p)
}

func (w *world) land(record Record) {
	body, err := EncodeRecord(record)
	if err != nil {
		panic(err)
	}
	r := logservice.Record{Offset: w.first + logservice.Offset(len(w.log)), Time: w.now, Body: body}
	w.note("log %d: %T %+v", r.Offset, record, record)
	w.log = append(w.log, r)
	verdicts, err := w.truth.Apply(w.flawed(w.truth, r))
	if err != nil {
		panic(err)
	}
	for _, v := range verdicts {
		switch v := v.(type) {
		case Accepted:
			w.accepted[v.Entry.ID] = true
			if w.refused[v.Entry.ID] {
				w.fault = fmt.Errorf("publication %s came into force after it was refused", v.Entry.ID)
			}
		case Refused:
			w.refused[v.ID] = true
		}
	}
	w.states = append(w.states, w.truth.Entries())
}

// flawed returns the record as a reader that judges promotions by their digest
// would take it.
func (w *world) flawed(n *State, r logservice.Record) logservice.Record {
	record, _ := DecodeRecord(r.Body)
	p, ok := record.(Publication)
	if w.flaw != triedByDigest || !ok {
		return r
	}
	p.Promotes = n.TrialVersionOf(p.Environment, p.Digest)
	r.Body, _ = EncodeRecord(p)
	return r
}

// apply lets a node take a record, with the planted fault.
func (w *world) apply(n *State, r logservice.Record) error {
	record, _ := DecodeRecord(r.Body)
	if c, ok := record.(Checkpoint); ok {
		if w.flaw == checkpointOverwrites {
			for _, e := range c.Entries {
				n.entries[Key{e.Environment, e.Stage}] = e
			}
			n.whole = true
		}
		if w.flaw == staleCheckpointTrusted {
			n.floor = 0
		}
		if w.flaw == partTakenForWhole {
			c.Part, c.Parts = 0, 1
			r.Body, _ = EncodeRecord(c)
		}
	}
	verdicts, err := n.Apply(w.flawed(n, r))
	if err != nil {
		return err
	}
	for _, v := range verdicts {
		if v, ok := v.(Accepted); ok && !w.accepted[v.Entry.ID] {
			return fmt.Errorf("a node accepted what the log refuses: %+v", v.Entry)
		}
	}
	return nil
}

func (w *world) read(n *State) error {
	if n.Next() < w.first {
		if w.flaw == gapIgnored {
			n.next = w.first
		} else {
			n.HandleTrim(w.first)
		}
	}
	at := int(n.Next() - w.first)
	if at >= len(w.log) {
		return nil
	}
	if err := w.apply(n, w.log[at]); err != nil {
		return err
	}
	return w.agree(n)
}

// agree checks that a whole node holds exactly what the log says, and another
// nothing newer.
func (w *world) agree(n *State) error {
	want := []Entry{}
	if n.Next() > 0 {
		want = w.states[n.Next()-1]
	}
	if n.Complete() && len(want)+len(n.Entries()) > 0 && !reflect.DeepEqual(n.Entries(), want) {
		return fmt.Errorf("a node at %d holds %+v, want %+v", n.Next(), n.Entries(), want)
	}
	return nil
}

func (w *world) step(c prove.Chooser) error {
	w.now = w.now.Add(time.Second)
	at := c.Choose(len(w.nodes))
	n := w.nodes[at]
	switch c.Choose(10) {
	case 0, 1:
		w.publish(c, n)
	case 2, 3:
		w.append(c)
	case 4, 5, 6:
		return w.read(n)
	case 7:
		if snapshot, ok := n.Snapshot(); ok && snapshot.AsOf >= 0 {
			// A part takes one entry, so that checkpoints come in parts, mixed
			// with others and with some lost.
			for _, part := range split(snapshot, 1+c.Choose(2)*(1<<20)) {
				w.appends = append(w.appends, part)
			}
		}
	case 8:
		return w.gossip(n, w.nodes[c.Choose(len(w.nodes))])
	case 9:
		w.disturb(c, at)
	}
	return nil
}

func (w *world) append(c prove.Chooser) {
	if len(w.late) > 0 && c.Choose(3) == 0 {
		i := c.Choose(len(w.late))
		w.land(w.late[i])
		w.late = slices.Delete(w.late, i, i+1)
	}
	if len(w.appends) == 0 {
		return
	}
	i := c.Choose(len(w.appends))
	record := w.appends[i]
	switch c.Choose(5) {
	case 0:
		// No answer, and it lands later: the publisher appends it again.
		w.late = append(w.late, record)
	case 1:
		w.land(record)
	default:
		w.land(record)
		w.appends = slices.Delete(w.appends, i, i+1)
	}
}

func (w *world) gossip(from, to *State) error {
	snapshot, ok := from.Snapshot()
	if !ok || snapshot.AsOf < 0 || from == to {
		return nil
	}
	if w.flaw == olderSnapshotAdopted && snapshot.AsOf < to.next {
		to.next = snapshot.AsOf
	}
	if _, err := to.InstallSnapshot(snapshot); err != nil {
		return err
	}
	return w.agree(to)
}

func (w *world) disturb(c prove.Chooser, at int) {
	if c.Choose(2) == 0 {
		w.note("node %d restarts", at)
		w.nodes[at] = NewState()
		return
	}
	drop := c.Choose(len(w.log) + 1)
	w.first += logservice.Offset(drop)
	w.log = w.log[drop:]
	w.note("log now starts at %d", w.first)
}

func documentsAgree(f flaw) func(prove.Chooser) error {
	return func(c prove.Chooser) error {
		w := newWorld(f)
		for range proofSteps {
			err := w.step(c)
			if err == nil {
				err = w.fault
			}
			if err != nil {
				return fmt.Errorf("%w\n%s", err, strings.Join(w.trace, "\n"))
			}
		}
		return nil
	}
}

// TestProveDocuments races publications, checkpoints, snapshots, trims and
// restarts, and compares every instance with a reader that missed nothing.
func TestProveDocuments(t *testing.T) {
	prove.Check(t, documentsAgree(noFlaw))
}

// TestProveDocumentsCatches shows that the proof fails for wrong variants.
func TestProveDocumentsCatches(t *testing.T) {
	prove.CatchesAll(t, map[string]func(prove.Chooser) error{
		"checkpoint overwrites newer":  documentsAgree(checkpointOverwrites),
		"stale checkpoint fills a gap": documentsAgree(staleCheckpointTrusted),
		"gap in the log ignored":       documentsAgree(gapIgnored),
		"promotion judged by digest":   documentsAgree(triedByDigest),
		"part taken for the whole":     documentsAgree(partTakenForWhole),
		"older snapshot adopted":       documentsAgree(olderSnapshotAdopted),
	})
}
