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

// Slope is a cost as a linear function of a size.
type Slope struct {
	Mechanism string
	Unit      string
	Sizes     []int
	Values    []float64
	// PerItem and Fixed are the least-squares fit, Residual the greatest
	// deviation from it as a part of the value.
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

// CapacityReport is the measured slopes.
type CapacityReport struct {
	Slopes []Slope
}

// WriteText writes the report for a reader.
func (r *CapacityReport) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "mechanism\tsizes\tper item\tfixed\tresidual")
	for _, s := range r.Slopes {
		_, _ = fmt.Fprintf(table, "%s\t%v\t%.4g %s\t%.4g\t%.3f\n", s.Mechanism, s.Sizes, s.PerItem, s.Unit, s.Fixed, s.Residual)
	}
	return table.Flush()
}

// Capacity measures state and processor time of each mechanism at growing
// sizes.
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
	add("keys of the claims' ledger, state", "B", []int{10_000, 40_000, 160_000}, ledgerState)
	add("keys of the claims' ledger, time to apply claim and outcome", "ns", []int{10_000, 40_000, 160_000}, ledgerTime)
	add("record of a claim and an outcome, batched", "B", []int{16, 64, 256}, claimBytes)
	add("documents in force of 500 B, state", "B", []int{1_000, 4_000, 16_000}, documentState)
	add("documents in force of 500 B, bytes of a checkpoint", "B", []int{1_000, 4_000, 16_000}, checkpointBytes)
	add("tenants in documents, state of the catalog", "B", []int{1_000, 4_000, 16_000}, catalogState)
	add("active tenants, state of admission", "B", []int{1_000, 4_000, 16_000}, admissionState)
	add("runners, state of the fleet", "B", []int{80, 320, 640}, fleetState)
	add("runners of a zone, time to choose a path", "ns", []int{20, 80, 320}, chooseTime)
	add("answers under way with 500 tokens, state", "B", []int{500, 2_000, 8_000}, sessionState)
	add("polls of a runner's status, processor time of both ends", "ns", []int{200, 800, 3200}, func(n int) float64 { return pollTime(ctx, n) })
	return report
}

// grown returns by how much the heap grows while make's result is alive.
func grown(make func() any) float64 {
	before := live()
	kept := make()
	after := live()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func live() uint64 {
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

func fill(n int) (*claim.KeyTable, time.Duration) {
	ledger := claim.NewKeyTable()
	took := time.Duration(0)
	for i := range n {
		body, err := claim.EncodeBatch(claimAndOutcome())
		if err != nil {
			return ledger, took
		}
		began := time.Now()
		_, _ = ledger.Apply(logservice.Record{Offset: logservice.Offset(i), Time: began, Body: body})
		took += time.Since(began)
	}
	return ledger, took
}

func ledgerState(n int) float64 {
	return grown(func() any {
		ledger, _ := fill(n)
		return ledger
	})
}

func ledgerTime(n int) float64 {
	_, took := fill(n)
	return float64(took.Nanoseconds())
}

func claimBytes(n int) float64 {
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

func foldOf(n int) *document.State {
	fold := document.NewState()
	for i := range n {
		body := make([]byte, capacityDocumentBytes)
		copy(body, fmt.Sprint(i))
		record, err := document.EncodeRecord(document.Publication{
			Environment: environment.Name(fmt.Sprint("environment-", i)), Stage: environment.Trial, Base: document.NoVersion,
			Digest: environment.DigestOf(body), ID: uuid.New(), Body: body, Promotes: document.NoVersion,
		})
		if err != nil {
			return fold
		}
		_, _ = fold.Apply(logservice.Record{Offset: logservice.Offset(i), Body: record})
	}
	return fold
}

func documentState(n int) float64 {
	return grown(func() any { return foldOf(n) })
}

func checkpointBytes(n int) float64 {
	snapshot, _ := foldOf(n).Snapshot()
	data, err := document.EncodeRecord(snapshot)
	if err != nil {
		return 0
	}
	return float64(len(data))
}

func tenant(i int) environment.Team {
	return environment.Team{
		Name: environment.TeamName(fmt.Sprint("tenant-", i)), APIKeyHash: environment.HashSecret(fmt.Sprint(i)), Class: "normal",
		Weight: 1, RequestsPerSecond: 1, MaxConcurrent: 1, Models: []environment.ModelName{"m"},
	}
}

func catalogState(n int) float64 {
	return grown(func() any {
		doc := &environment.Document{Environment: "e"}
		for i := range n {
			doc.Teams = append(doc.Teams, tenant(i))
		}
		catalog := caller.NewCatalog()
		catalog.Set(environment.Production, doc)
		return catalog
	})
}

func admissionState(n int) float64 {
	return grown(func() any {
		admission := caller.NewAdmissionController(n + 1)
		now := time.Now()
		for i := range n {
			_ = admission.Charge(now, tenant(i))
		}
		return admission
	})
}

func fleetOf(n int, now time.Time) *engine.Fleet {
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

func fleetState(n int) float64 {
	return grown(func() any { return fleetOf(n, time.Now()) })
}

func chooseTime(n int) float64 {
	const rounds = 2000
	now := time.Now()
	fleet := fleetOf(n, now)
	began := time.Now()
	for range rounds {
		_, _ = fleet.ChoosePath(now, engine.PathQuery{Model: fleetModel, Version: fleetVersion, Layers: fleetLayers, Positions: 100})
	}
	return float64(time.Since(began).Nanoseconds()) / rounds
}

func sessionState(n int) float64 {
	const tokens = 500
	return grown(func() any {
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
	before := processorTime()
	for range n {
		_, _ = client.FetchReport(ctx, "e", server.Listener.Addr().String())
	}
	return float64((processorTime() - before).Nanoseconds())
}
