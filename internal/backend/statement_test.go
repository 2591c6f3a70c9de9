package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// TestLeavingServerComesBack guards against new requests to a server that has said that it leaves,
// since an older copy of the list, or an entry that comes back, calls it ready, and against a new
// incarnation that gets none.
func TestLeavingServerComesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := deployment.Backend{ID: "a", Service: "s", Address: "1:1", Slots: 1, StartedAt: time.Unix(900, 0)}
	f := NewFleet("z")
	f.Replace(now, []deployment.Backend{entry})
	assert.Check(t, f.RecordStatement(now, entry.Incarnation(), deployment.ServerStatement{Leaving: true}))
	assert.Check(t, !f.RecordStatement(now, entry.Incarnation(), deployment.ServerStatement{Leaving: true}), "told twice")
	usable := func() bool { return len(f.Endpoints()["s"]) > 0 }
	assert.Check(t, !usable())
	f.Put(entry)
	assert.Check(t, !usable(), "the list says ready")
	f.Remove(now, "a")
	f.Put(entry)
	assert.Check(t, !usable(), "its entry has come back")
	f.Replace(now, []deployment.Backend{entry})
	assert.Check(t, !usable(), "the list was read anew")
	entry.StartedAt = time.Unix(1001, 0)
	f.Put(entry)
	assert.Check(t, usable(), "it has started again")
}

// TestServerIsSentRequestsWhileItWaits guards against requests to a server before the time after
// which it wants them, and against an earlier end of that time by a later answer.
func TestServerIsSentRequestsWhileItWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet("z")
	entry := deployment.Backend{ID: "a", Service: "s", Address: "1:1"}
	f.Replace(now, []deployment.Backend{entry, {ID: "b", Service: "s", Address: "1:2"}})
	usable := func(at time.Time) bool { return f.servers["a"].usable(at) }
	f.RecordStatement(now, entry.Incarnation(), deployment.ServerStatement{Wait: 3 * time.Second})
	f.RecordStatement(now.Add(time.Second), entry.Incarnation(), deployment.ServerStatement{})
	f.RecordStatement(now.Add(time.Second), entry.Incarnation(), deployment.ServerStatement{Wait: time.Second})
	assert.Check(t, !usable(now.Add(3*time.Second-time.Millisecond)))
	assert.Check(t, usable(now.Add(3*time.Second)))
	_, all := f.TimeToRequests(now, "s")
	assert.Check(t, !all, "b takes requests")
	by, leaves := f.RecordStatementAt(now, "1:2", deployment.ServerStatement{Wait: 2 * time.Second})
	assert.Check(t, by.Server == "b" && !leaves)
	wait, all := f.TimeToRequests(now, "s")
	assert.Check(t, all && wait == 2*time.Second, "%s", wait)
}

// TestOldestDepartureIsForgotten guards against a memory of departures that is lost as a whole, or grows.
func TestOldestDepartureIsForgotten(t *testing.T) {
	d := newDeparted()
	incarnation := func(number int) deployment.Incarnation {
		return deployment.Incarnation{Server: "a", StartedAt: int64(number)}
	}
	for number := range maxDeparted + 2 {
		assert.Check(t, d.add(incarnation(number)))
	}
	assert.Equal(t, len(d.numbers), maxDeparted)
	assert.Check(t, !d.has(incarnation(1)) && d.has(incarnation(2)) && d.has(incarnation(maxDeparted+1)))
}

// TestLeavingIsForgottenWithTheEntry guards against requests to a server that leaves after its entry
// was gone or changed, whoever had said so and whenever the entry came.
func TestLeavingIsForgottenWithTheEntry(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := deployment.Backend{ID: "a", Service: "s", Address: "1:1", Slots: 1, StartedAt: time.Unix(900, 0)}
	draining := entry
	draining.Draining = true
	leaves := deployment.ServerStatement{Leaving: true}
	cases := map[string]func(f *Fleet){
		"said while the entry had lapsed": func(f *Fleet) {
			f.Put(entry)
			f.Remove(now, "a")
			f.RecordStatement(now, entry.Incarnation(), leaves)
		},
		"said in a call while the entry had lapsed": func(f *Fleet) {
			f.Put(entry)
			f.Remove(now, "a")
			f.RecordStatementAt(now, "1:1", leaves)
		},
		"said before the first entry came": func(f *Fleet) { f.RecordStatement(now, entry.Incarnation(), leaves) },
		"listed, then gone": func(f *Fleet) {
			f.Put(draining)
			f.Remove(now, "a")
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			f := NewFleet("z")
			f.Replace(now, nil)
			leave(f)
			f.Put(entry)
			assert.Check(t, len(f.Endpoints()["s"]) == 0, "the list calls it ready")
			restarted := entry
			restarted.StartedAt = time.Unix(1001, 0)
			f.Put(restarted)
			f.RecordStatement(now, entry.Incarnation(), leaves)
			assert.Check(t, len(f.Endpoints()["s"]) == 1, "it has started again")
		})
	}
}
