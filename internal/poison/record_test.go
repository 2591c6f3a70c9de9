package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/prove"
)

// keptRecord is what the store holds in these tests. It takes a record only of who has read the last one.
type keptRecord struct {
	evidence Evidence
	at       time.Time
	number   int
}

// partitionedInstance is an instance that only the store tells anything.
type partitionedInstance struct {
	tracker *Tracker
	kept    Evidence // as of keptAt
	keptAt  time.Time
	read    int // number of the record that it has read
}

func (i *partitionedInstance) readRecord(now time.Time, store *keptRecord) {
	i.kept, i.keptAt, i.read = store.evidence.Older(now.Sub(store.at)), now, store.number
	i.tracker.Merge(now, i.kept)
}

// write writes a record if one is due, and reports whether the store took one.
func (i *partitionedInstance) write(now time.Time, store *keptRecord) bool {
	record, due := i.tracker.Record(now, i.kept.Older(now.Sub(i.keptAt)), true)
	if !due || i.read != store.number {
		return false
	}
	*store = keptRecord{evidence: record, at: now, number: store.number + 1}
	i.kept, i.keptAt, i.read = record, now, store.number
	return true
}

// TestProvePartitionedInstancesHoldTheSameKeys guards against instances that are cut off from one another and hold
// other keys than one that has seen everything, and against records that are written again and again. They read and
// write the record in any order, and an end may be seen by several of them.
func TestProvePartitionedInstancesHoldTheSameKeys(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		all, store := NewTracker(0), &keptRecord{}
		instances := make([]*partitionedInstance, rapid.IntRange(2, 5).Draw(t, "instances"))
		for i := range instances {
			instances[i] = &partitionedInstance{tracker: NewTracker(0)}
		}
		some := rapid.SampledFrom(instances)
		now := start
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			request := rapid.IntRange(6, 9).Draw(t, "request")
			keys := []Key{Key(1 + request%2), Key(3 + request%3), Key(request)}
			switch rapid.SampledFrom([]string{"ends", "ends", "begins", "reads", "writes"}).Draw(t, "what") {
			case "ends":
				blamed := []Blamed{{Attempt: Attempt(step), Keys: keys}}
				all.RecordEnd(now, now, server(step), blamed)
				some.Draw(t, "seen-by").tracker.RecordEnd(now, now, server(step), blamed)
				some.Draw(t, "seen-by").tracker.RecordEnd(now.Add(time.Millisecond), now, server(step), blamed)
			case "begins":
				all.RecordBegun(now, keys)
				for _, i := range instances { // that an answer has begun is seen by all here: see clears
					i.tracker.RecordBegun(now, keys)
				}
			case "reads":
				some.Draw(t, "reads").readRecord(now, store)
			case "writes":
				some.Draw(t, "writes").write(now, store)
			}
		}
		settle(t, now.Add(outageLength), instances, store)
		now = now.Add(2 * outageLength)
		for _, i := range instances {
			assert.DeepEqual(t, verdictsOf(i.tracker, now), verdictsOf(all, now))
		}
	})
}

// settle lets instances read and write until none writes, which each of them does twice at most.
func settle(t *rapid.T, now time.Time, instances []*partitionedInstance, store *keptRecord) {
	for wrote, writes := true, 0; wrote; {
		wrote = false
		for _, i := range instances {
			i.readRecord(now, store)
			if i.write(now, store) {
				wrote = true
				writes++
			}
		}
		if writes > 2*len(instances) {
			t.Fatalf("%d records by %d instances", writes, len(instances))
		}
	}
}

// TestRecordOfOneEnd guards against an end that an instance can't tell the others, and that the store doesn't tell
// them either, as it is no more than one; and against a record for each end where all hear of it.
func TestRecordOfOneEnd(t *testing.T) {
	tracker := NewTracker(0)
	tracker.RecordEnd(start, start, server(1), []Blamed{attemptOf(1, firstPart)})
	_, due := tracker.Record(start, Evidence{}, false)
	assert.Assert(t, !due)
	record, due := tracker.Record(start, Evidence{}, true)
	assert.Assert(t, due)
	_, due = tracker.Record(at(time.Second), record.Older(time.Second), true)
	assert.Assert(t, !due, "it is kept")
}

// TestRecordOfAnAnswer guards against a sound request that is held where only the store tells that it was answered,
// and against a trial that counts as new each time that it is read.
func TestRecordOfAnAnswer(t *testing.T) {
	here, there := NewTracker(0), NewTracker(0)
	for i := range heldEnds {
		now := at(time.Duration(i) * 2 * time.Second)
		here.RecordEnd(now, now, server(i), []Blamed{attemptOf(i, badPart)})
	}
	now := at(10 * time.Second)
	kept, due := here.Record(now, Evidence{}, false)
	assert.Assert(t, due)
	there.Merge(now, kept)
	now = at(4 * time.Second).Add(earlyTrialDelay)
	_, ok := here.Try(now, []Key{badPart})
	assert.Assert(t, ok)
	kept, due = here.Record(now, kept.Older(now.Sub(at(10*time.Second))), false)
	assert.Assert(t, due, "the trial is not kept")
	for second := range 15 {
		there.Merge(now.Add(time.Duration(second)*time.Second), kept.Older(time.Duration(second)*time.Second))
	}
	_, ok = there.Try(now.Add(earlyTrialDelay-time.Second), []Key{badPart})
	assert.Assert(t, !ok, "all wait as long as who has tried")
	here.RecordBegun(now.Add(time.Second), []Key{badPart})
	answered, due := here.Record(now.Add(time.Second), kept.Older(time.Second), false)
	assert.Assert(t, due, "what is kept holds a request that was answered")
	assert.Equal(t, there.Judge(now.Add(time.Second), []Key{badPart}), Held)
	there.Merge(now.Add(time.Second), answered)
	assert.Equal(t, there.Judge(now.Add(time.Second), []Key{badPart}), Clear)
	_, due = here.Record(now.Add(2*time.Second), answered.Older(time.Second), false)
	assert.Assert(t, !due)
}
