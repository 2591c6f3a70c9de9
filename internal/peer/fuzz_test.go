package peer

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/admission"
	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/poison"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/internal/serverlimit"
	"mulberryhead.org/mulberryhead/internal/spillover"
)

// FuzzDecode passes arbitrary bytes to the decoder, as a faulty peer might send. A
// message that decodes must encode, and its encoding must decode.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		Hello{Instance: "a", Incarnation: uuid.Nil, Zone: "z"}, Heartbeat{Leaving: true}, DocumentsOffset{AsOf: 7},
		DocumentsRequest{AsOf: 7}, DocumentsCheckpoint{Checkpoint: document.Checkpoint{AsOf: 7}},
		LoadUpdates{Updates: []LoadUpdate{{Runner: "r", Queued: 1}}}, CrashNotice{Fingerprint: 7, Runner: "r"},
		PoisonEvidence{Evidence: poison.Evidence{
			Ends: []poison.End{{
				Incarnation: deployment.Incarnation{Server: "s", StartedAt: 5}, Age: time.Second,
				Blamed: []poison.Blamed{{Attempt: 3, Keys: []poison.Key{1, 2}}},
			}},
			Begun:  []poison.KeyAge{{Key: 1, Age: time.Second}},
			Trials: []poison.KeyAge{{Key: 2, Age: time.Minute}},
		}},
		ForwardRequest{ID: 7, Key: "k"}, ForwardResponse{ID: 7, Status: 200},
		StageLoads{Loads: map[deployment.BackendID]int{"b": 3}}, ZoneLoads{Zone: "z", Loads: map[deployment.BackendID]int{"b": 3}},
		StageLoads{Loans: map[deployment.ServiceName]map[retrybudget.Borrower]float64{"s": {{Zone: "z"}: 2}}},
		ZoneLoads{Zone: "z", Lenders: 3, Loans: map[deployment.ServiceName]float64{"s": 2.5}},
		StageObserved{Backend: "b", What: backend.StageSuspected},
		LinksState{CutOff: true}, LinksState{}, StageLoads{CutOff: true},
		StageLoads{Demand: map[deployment.ServiceName][]admission.PriorityDemand{"s": {{Rank: routing.Rank{Priority: 1, Route: 2}, Waiting: 3, Work: 4, ArrivalsPerSecond: 5}}}},
	} {
		data, err := Encode(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil || m == nil {
			return
		}
		encoded, err := Encode(m)
		assert.NilError(t, err)
		_, err = Decode(encoded)
		assert.NilError(t, err)
	})
}

// TestLoadsOfNoRequestArrive guards against an instance whose last request has ended and
// whose old load the others keep, because an empty load is left out of the message.
func TestLoadsOfNoRequestArrive(t *testing.T) {
	for _, m := range []Message{
		StageLoads{Loads: map[deployment.BackendID]int{}, Retries: map[deployment.ServiceName]retrybudget.Spending{"s": {Allowed: 4.5, Spent: 1}}, Limits: backend.LimitReports{}},
		StageLoads{Loads: map[deployment.BackendID]int{}, Retries: map[deployment.ServiceName]retrybudget.Spending{}, Limits: backend.LimitReports{}, Demand: map[deployment.ServiceName][]admission.PriorityDemand{
			"s": {{Rank: routing.Rank{Priority: 1, Route: 2}, Waiting: 3, Work: 4.5, ArrivalsPerSecond: 5.5}, {Rank: routing.Rank{Priority: -1}}},
		}},
		ZoneLoads{Zone: "z", Loads: map[deployment.BackendID]int{}, Limits: backend.LimitReports{}},
		ZoneLoads{Zone: "z", Loads: map[deployment.BackendID]int{}, Limits: backend.LimitReports{"b": {
			Sent: 4, Statement: serverlimit.Statement{PerSecond: 2.5, NamedAge: time.Second, Answered: true, LiftedAge: time.Minute},
		}}},
		StageLoads{
			Loads: map[deployment.BackendID]int{}, Retries: map[deployment.ServiceName]retrybudget.Spending{}, Limits: backend.LimitReports{},
			Loans: map[deployment.ServiceName]map[retrybudget.Borrower]float64{"s": {{Instance: "i"}: 0.5, {Zone: "z"}: 2}},
		},
		ZoneLoads{
			Zone: "z", Loads: map[deployment.BackendID]int{}, Limits: backend.LimitReports{}, Lenders: 3,
			Retries: map[deployment.ServiceName]retrybudget.Spending{"s": {Allowed: 12, Spent: 7}},
			Loans:   map[deployment.ServiceName]float64{"s": 2.5},
		},
		ZoneLoads{
			Zone: "z", Loads: map[deployment.BackendID]int{}, Limits: backend.LimitReports{}, AsOf: time.UnixMilli(1500), Origin: "i",
			Demand: map[deployment.ServiceName][]admission.PriorityDemand{"s": {{Rank: routing.Rank{Priority: 1}, Waiting: 2, Work: 3, ArrivalsPerSecond: 0.5}}},
			Free:   map[deployment.ServiceName]spillover.Free{"s": {Requests: 4, PerSecond: 1.5}},
		},
		StageObserved{Backend: "b", What: backend.StageAccepted},
		ServersLeaving{Servers: []deployment.Incarnation{{Server: "s", StartedAt: 5}, {Server: "t"}}},
		PoisonEvidence{Evidence: poison.Evidence{
			Ends: []poison.End{{
				Incarnation: deployment.Incarnation{Server: "s", StartedAt: 5}, Age: time.Second,
				Blamed: []poison.Blamed{{Attempt: 3, Keys: []poison.Key{1, 2}}},
			}},
			Begun:  []poison.KeyAge{{Key: 1, Age: 1500 * time.Millisecond}},
			Trials: []poison.KeyAge{{Key: 2, Age: time.Minute}},
		}},
	} {
		data, err := Encode(m)
		assert.NilError(t, err)
		got, err := Decode(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m)
	}
}
