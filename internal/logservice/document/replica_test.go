package document

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// publicationChain returns n records, each a trial document that replaces the
// previous one.
func publicationChain(t *testing.T, n int) []logservice.Record {
	t.Helper()
	var records []logservice.Record
	for i := range n {
		body := []byte{byte(i), byte(i >> 8)}
		data, err := EncodeRecord(Publication{
			Environment: "bench", Stage: environment.Trial, Base: Version(i - 1),
			Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: NoVersion,
		})
		assert.NilError(t, err)
		records = append(records, logservice.Record{Offset: logservice.Offset(i), Time: time.Unix(int64(i), 0), Body: data})
	}
	return records
}

func newTestReplica() (replica *Replica, accepted *[]Version) {
	accepted = &[]Version{}
	return NewReplica(Config{
		OnAccepted: func(e Entry) { *accepted = append(*accepted, e.Version) },
		OnAdvanced: func(logservice.Offset) {}, Logger: zap.NewNop(),
	}), accepted
}

// TestCatchUpFromPeer checks that an instance catches up from a peer that has read
// the log: from the records that it lacks, or from a snapshot when the peer no
// longer keeps those. Older records and snapshots must change nothing.
func TestCatchUpFromPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	records := publicationChain(t, maxRecentRecords+10)
	source, _ := newTestReplica()
	source.HandleRecords(now, logservice.Page{Next: logservice.Offset(len(records)), Records: records})

	behind, accepted := newTestReplica()
	behind.HandleRecords(now, logservice.Page{Next: 20, Records: records[:20]})
	_, ok := source.RecordsAfter(5)
	assert.Assert(t, !ok, "returned records that are no longer kept")
	missing, ok := source.RecordsAfter(19)
	assert.Assert(t, ok)
	behind.ApplyPeerRecords(missing)
	asOf, complete := behind.AsOf()
	assert.Assert(t, complete)
	assert.Equal(t, asOf, logservice.Offset(len(records)-1))
	for i, version := range *accepted {
		assert.Equal(t, version, Version(i))
	}

	fresh, _ := newTestReplica()
	fresh.ApplyPeerRecords(missing)
	assert.Assert(t, !fresh.Loaded(), "loaded from records that leave a gap")
	snapshot, ok := source.Snapshot()
	assert.Assert(t, ok)
	assert.NilError(t, fresh.InstallSnapshot(snapshot))
	assert.Assert(t, fresh.Loaded())
	assert.DeepEqual(t, fresh.Entries(), source.Entries())

	// Old records and an old snapshot change nothing.
	behind.ApplyPeerRecords(records[3:30])
	assert.NilError(t, behind.InstallSnapshot(Checkpoint{AsOf: 7}))
	assert.DeepEqual(t, behind.Entries(), source.Entries())
}
