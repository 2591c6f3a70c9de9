package peer

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/retrybudget"
)

// TestAbsurdRetriesAreLeftOut guards against numbers of a faulty peer that would reach the retry
// budget: negative, infinite and none at all.
func TestAbsurdRetriesAreLeftOut(t *testing.T) {
	for _, absurd := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		data, err := Encode(StageLoads{
			Retries: map[deployment.ServiceName]retrybudget.Spending{"a": {Allowed: absurd}, "b": {Spent: absurd}, "c": {Allowed: 1}},
			Loans:   map[deployment.ServiceName]map[retrybudget.Borrower]float64{"s": {{Zone: "z"}: absurd, {Instance: "i"}: absurd, {Instance: "j"}: 1}},
		})
		assert.NilError(t, err)
		message, err := Decode(data)
		assert.NilError(t, err)
		loads, ok := message.(StageLoads)
		assert.Assert(t, ok)
		assert.DeepEqual(t, loads.Retries, map[deployment.ServiceName]retrybudget.Spending{"c": {Allowed: 1}})
		assert.DeepEqual(t, loads.Loans["s"], map[retrybudget.Borrower]float64{{Instance: "j"}: 1})
		data, err = Encode(ZoneLoads{Zone: "z", Lenders: -1, Retries: loads.Retries, Loans: map[deployment.ServiceName]float64{"s": absurd}})
		assert.NilError(t, err)
		message, err = Decode(data)
		assert.NilError(t, err)
		zone, ok := message.(ZoneLoads)
		assert.Assert(t, ok)
		assert.Equal(t, zone.Lenders, 0)
		assert.Equal(t, len(zone.Loans), 0)
	}
}

// TestEarlierBuildReadsLoads guards against a link that ends during an update because an earlier build
// can't read a message, and against one of its messages that is taken for more than it says.
func TestEarlierBuildReadsLoads(t *testing.T) {
	type earlierZoneLoads struct {
		Zone  string         `cbor:"1,keyasint"`
		Loads map[string]int `cbor:"2,keyasint"`
	}
	type earlierMessage struct {
		ZoneLoads *earlierZoneLoads `cbor:"22,keyasint,omitempty"`
	}
	data, err := Encode(ZoneLoads{Zone: "z", Lenders: 3, Loans: map[deployment.ServiceName]float64{"s": 2.5}})
	assert.NilError(t, err)
	var earlier earlierMessage
	assert.NilError(t, cbor.Unmarshal(data, &earlier))
	assert.Equal(t, earlier.ZoneLoads.Zone, "z")
	data, err = cbor.Marshal(earlier)
	assert.NilError(t, err)
	message, err := Decode(data)
	assert.NilError(t, err)
	zone, ok := message.(ZoneLoads)
	assert.Assert(t, ok)
	assert.Equal(t, len(zone.Retries)+len(zone.Loans)+zone.Lenders, 0)
}
