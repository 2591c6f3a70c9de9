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

// chain returns n records, each a trial document that replaces the one before.
func chain(t *testing.T, n int) []logservice.Record {
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

func keeper() (k *Replica, inForce *[]Version) {
	inForce = &[]Version{}
	return NewReplica(Config{
		OnAccepted: func(e Entry) { *inForce = append(*inForce, e.Version) },
		OnAdvanced: func(logservice.Offset) {}, Logger: zap.NewNop(),
	}), inForce
}

// TestPeersHelp lets one instance that read the log help another: with the
// records it lacks, or with the whole state when it is too far behind.
func TestPeersHelp(t *testing.T) {
	now := time.Unix(1000, 0)
	records := chain(t, recentRecords+10)
	source, _ := keeper()
	source.HandleRecords(now, logservice.Page{Next: logservice.Offset(len(records)), Records: records})

	behind, inForce := keeper()
	behind.HandleRecords(now, logservice.Page{Next: 20, Records: records[:20]})
	_, ok := source.RecordsAfter(5)
	assert.Assert(t, !ok, "records that are no longer held")
	missing, ok := source.RecordsAfter(19)
	assert.Assert(t, ok)
	behind.ApplyPeerRecords(missing)
	asOf, whole := behind.AsOf()
	assert.Assert(t, whole)
	assert.Equal(t, asOf, logservice.Offset(len(records)-1))
	for i, version := range *inForce {
		assert.Equal(t, version, Version(i))
	}

	fresh, _ := keeper()
	fresh.ApplyPeerRecords(missing)
	assert.Assert(t, !fresh.Loaded(), "records that do not follow are not taken")
	snapshot, ok := source.Snapshot()
	assert.Assert(t, ok)
	assert.NilError(t, fresh.InstallSnapshot(snapshot))
	assert.Assert(t, fresh.Loaded())
	assert.DeepEqual(t, fresh.Entries(), source.Entries())

	// What comes late changes nothing.
	behind.ApplyPeerRecords(records[3:30])
	assert.NilError(t, behind.InstallSnapshot(Checkpoint{AsOf: 7}))
	assert.DeepEqual(t, behind.Entries(), source.Entries())
}
