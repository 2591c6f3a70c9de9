package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"mulberryhead.org/mulberryhead/internal/caller"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/hashmodel"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/standin"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Slope is the cost of one mechanism, measured at several sizes and fitted as a
// linear function of the size.
type Slope struct {
	Mechanism string
	Unit      string
	Sizes     []int
	Values    []float64
	// PerItem and Fixed are the slope and intercept of the least-squares fit.
	// Residual is the largest deviation from the fit, relative to the measured
	// value.
	PerItem  float64
	Fixed    float64
	Residual float64
}

// fit computes the least-squares line through the values.
func (s *Slope) fit() {
	n := float64(len(s.Sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i, size := range s.Sizes {
		x, y := float64(size), s.Values[i]
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	s.PerItem = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	s.Fixed = (sumY - s.PerItem*sumX) / n
	for i, size := range s.Sizes {
		deviation := math.Abs(s.Values[i] - s.Fixed - s.PerItem*float64(size))
		s.Residual = max(s.Residual, deviation/math.Abs(s.Values[i]))
	}
}

// CapacityReport holds the fitted cost of each mechanism.
type CapacityReport struct {
	Slopes []Slope
}

// WriteText writes the report as a text table.
func (r *CapacityReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "mechanism\tsizes\tper item\tfixed\tresidual")
	for _, s := range r.Slopes {
		_, _ = fmt.Fprintf(table, "%s\t%v\t%.4g %s\t%.4g\t%.3f\n", s.Mechanism, s.Sizes, s.PerItem, s.Unit, s.Fixed, s.Residual)
	}
	return table.Flush()
}

// Capacity measures the memory, the encoded size or the time that each mechanism
// takes at increasing sizes.
func Capacity(ctx context.Context) *CapacityReport {
	report := &CapacityReport{}
	add := func(mechanism, unit string, sizes []int, measure func(n int) float64) {
		s := Slope{Mechanism: mechanism, Unit: unit, Sizes: sizes}
		for _, n := range sizes {
			s.Values = append(s.Values, measure(n))
		}
		s.fit()
		report.Slopes = append(report.Slopes, s)
	}
	add("keys of the claims' ledger, state", "B", []int{10_000, 40_000, 160_000}, keyTableHeapBytes)
	add("keys of the claims' ledger, time to apply claim and outcome", "ns", []int{10_000, 40_000, 160_000}, keyTableApplyTime)
	add("record of a claim and an outcome, batched", "B", []int{16, 64, 256}, claimBatchBytes)
	add("documents in force of 500 B, state", "B", []int{1_000, 4_000, 16_000}, documentHeapBytes)
	add("documents in force of 500 B, bytes of a checkpoint", "B", []int{1_000, 4_000, 16_000}, checkpointBytes)
	add("tenants in documents, state of the catalog", "B", []int{1_000, 4_000, 16_000}, catalogHeapBytes)
	add("active tenants, state of admission", "B", []int{1_000, 4_000, 16_000}, admissionHeapBytes)
	add("runners, state of the fleet", "B", []int{80, 320, 640}, fleetHeapBytes)
	add("runners of a zone, time to choose a path", "ns", []int{20, 80, 320}, choosePathTime)
	add("answers under way with 500 tokens, state", "B", []int{500, 2_000, 8_000}, sessionHeapBytes)
	add("polls of a runner's status, processor time of both ends", "ns", []int{200, 800, 3200}, func(n int) float64 { return pollTime(ctx, n) })
	return report
}

// heapGrowth returns the number of heap bytes that the result of make keeps alive.
func heapGrowth(make func() any) float64 {
	before := liveHeapBytes()
	result := make()
	after := liveHeapBytes()
	runtime.KeepAlive(result)
	return float64(after) - float64(before)
}

func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func claimAndOutcome() []claim.Entry {
	key := claim.Key{Team: "tenant-with-a-name", UUID: uuid.Must(uuid.NewV7())}
	id := uuid.New()
	return []claim.Entry{
		claim.Claim{Key: key, ID: id, Incarnation: uuid.New(), ReadOffset: 1 << 30},
		claim.Outcome{Key: key, ID: id, Result: claim.ResultDone, Response: claim.Response{
			Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{"number":123456,"state":"booked"}`),
		}},
	}
}

func fillKeyTable(n int) (*claim.KeyTable, time.Duration) {
	table := claim.NewKeyTable()
	elapsed := time.Duration(0)
	for i := range n {
		body, err := claim.EncodeBatch(claimAndOutcome())
		if err != nil {
			return table, elapsed
		}
		start := time.Now()
		_, _ = table.Apply(logservice.Record{Offset: logservice.Offset(i), Time: start, Body: body})
		elapsed += time.Since(start)
	}
	return table, elapsed
}

func keyTableHeapBytes(n int) float64 {
	return heapGrowth(func() any {
		table, _ := fillKeyTable(n)
		return table
	})
}

func keyTableApplyTime(n int) float64 {
	_, elapsed := fillKeyTable(n)
	return float64(elapsed.Nanoseconds())
}

func claimBatchBytes(n int) float64 {
	var entries []claim.Entry
	for range n {
		entries = append(entries, claimAndOutcome()...)
	}
	body, err := claim.EncodeBatch(entries)
	if err != nil {
		return 0
	}
	return float64(len(body))
}

const capacityDocumentBytes = 500

func newDocumentState(n int) *document.State {
	state := document.NewState()
	for i := range n {
		body := make([]byte, capacityDocumentBytes)
		copy(body, fmt.Sprint(i))
		record, err := document.EncodeRecord(document.Publication{
			Environment: environment.Name(fmt.Sprint("environment-", i)), Stage: environment.Trial, Base: document.NoVersion,
			Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: document.NoVersion,
		})
		if err != nil {
			return state
		}
		_, _ = state.Apply(logservice.Record{Offset: logservice.Offset(i), Body: record})
	}
	return state
}

func documentHeapBytes(n int) float64 {
	return heapGrowth(func() any { return newDocumentState(n) })
}

func checkpointBytes(n int) float64 {
	snapshot, _ := newDocumentState(n).Snapshot()
	data, err := document.EncodeRecord(snapshot)
	if err != nil {
		return 0
	}
	return float64(len(data))
}

func team(i int) environment.Team {
	return environment.Team{
		Name: environment.TeamName(fmt.Sprint("tenant-", i)), APIKeyHash: environment.HashSecret(fmt.Sprint(i)), Class: "normal",
		Weight: 1, RequestsPerSecond: 1, MaxConcurrent: 1, Models: []environment.ModelName{"m"},
	}
}

func catalogHeapBytes(n int) float64 {
	return heapGrowth(func() any {
		doc := &environment.Document{Environment: "e"}
		for i := range n {
			doc.Teams = append(doc.Teams, team(i))
		}
		catalog := caller.NewCatalog()
		catalog.Set(environment.Production, doc)
		return catalog
	})
}

func admissionHeapBytes(n int) float64 {
	return heapGrowth(func() any {
		admission := caller.NewAdmissionController(n + 1)
		now := time.Now()
		for i := range n {
			_ = admission.Charge(now, team(i))
		}
		return admission
	})
}

func newFleet(n int, now time.Time) *engine.Fleet {
	fleet := engine.NewFleet(fleetZone)
	var list []instancelist.Instance
	for i := range n {
		list = append(list, instancelist.Instance{ID: instancelist.ID(fmt.Sprint("runner-", i)), Zone: fleetZone, Address: "127.0.0.1:1", Serves: fleetModel})
	}
	fleet.SetRunners(list)
	for i := range n {
		stage := i % fleetStages
		fleet.RecordReport(now, runner.ID(fmt.Sprint("runner-", i)), engine.Report{
			Incarnation: uuid.NewString(), Model: fleetModel, Version: fleetVersion, Layers: fleetLayers,
			Range:    runner.LayerRange{First: stage * fleetLayers / fleetStages, End: (stage + 1) * fleetLayers / fleetStages},
			Sessions: i % 7, BatchCost: time.Millisecond,
		})
	}
	return fleet
}

func fleetHeapBytes(n int) float64 {
	return heapGrowth(func() any { return newFleet(n, time.Now()) })
}

func choosePathTime(n int) float64 {
	const rounds = 2000
	now := time.Now()
	fleet := newFleet(n, now)
	start := time.Now()
	for range rounds {
		_, _ = fleet.ChoosePath(now, engine.PathQuery{Model: fleetModel, Version: fleetVersion, Layers: fleetLayers, Positions: 100})
	}
	return float64(time.Since(start).Nanoseconds()) / rounds
}

func sessionHeapBytes(n int) float64 {
	const tokens = 500
	return heapGrowth(func() any {
		sessions := make([]*engine.Session, n)
		for i := range sessions {
			sessions[i] = engine.NewSession(engine.SessionConfig{
				ID: uuid.New(), Model: fleetModel, Version: fleetVersion, Layers: fleetLayers,
				Prompt: make([]hashmodel.Token, tokens), MaxTokens: tokens,
			})
		}
		return sessions
	})
}

func pollTime(ctx context.Context, n int) float64 {
	server := httptest.NewServer(standin.NewEngine(standin.EngineConfig{
		ID: "e", Model: fleetModel, Version: fleetVersion, Layers: fleetLayers, Range: runner.LayerRange{End: fleetLayers},
	}).Handler())
	defer server.Close()
	client := engine.NewRunnerClient()
	before := cpuTime()
	for range n {
		_, _ = client.FetchReport(ctx, "e", server.Listener.Addr().String())
	}
	return float64((cpuTime() - before).Nanoseconds())
}
