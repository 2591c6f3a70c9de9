package pipeline

import (
	"bufio"
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
	"mulberryhead.org/mulberryhead/internal/testarchive"
)

func testEngine() *deployment.Engine {
	return &deployment.Engine{
		Layers: 80, LayerSize: 1750, KVBytesPerToken: 590000, TypicalPromptTokens: 770, TypicalOutputTokens: 170, Stride: 2,
		StepTime: 850 * time.Microsecond, StepPerRequest: 4 * time.Microsecond, StepPerKContext: 5 * time.Microsecond,
	}
}

var accelerators = map[string]deployment.Accelerator{
	"h100": {Memory: 72000, StepFactor: 1.4, ReadFactor: 1}, "a100s": {Memory: 36000, StepFactor: 3.1, ReadFactor: 3.2},
	"l4": {Memory: 21600, StepFactor: 16, ReadFactor: 8.2}, "t4": {Memory: 14400, StepFactor: 15, ReadFactor: 15},
}

// TestFind runs scripts. A line is a stage (id, zone, accelerator, layers and optionally
// requests=N, slow=X and start=MS) or a query: "from ZONE" finds a path, "from ZONE in ZONES" one in
// the first of these zones, and "around ID from ZONE" reroutes that path around a failed stage.
// "gap MS" sets the target for the gap between events.
func TestFind(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		engine := testEngine()
		var stages []Stage
		var results []string
		lines := bufio.NewScanner(bytes.NewReader(files[0]))
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			switch fields[0] {
			case "gap":
				gap, err := strconv.Atoi(fields[1])
				assert.NilError(t, err)
				engine.TargetEventGap = time.Duration(gap) * time.Millisecond
			case "from":
				var order []deployment.Zone
				for _, zone := range fields[min(3, len(fields)):] {
					order = append(order, deployment.Zone(zone))
				}
				path, ok := Find(engine, stages, deployment.Zone(fields[1]), order...)
				results = append(results, format(path, ok))
			case "around":
				path, ok := Find(engine, stages, deployment.Zone(fields[3]))
				assert.Assert(t, ok)
				path, ok = Reroute(engine, stages, path, addresses(fields[1]))
				results = append(results, format(path, ok))
			default:
				stages = append(stages, parseStage(t, fields))
			}
		}
		assert.Equal(t, strings.Join(results, "\n"), strings.TrimSpace(string(files[1])))
	})
}

// addresses splits addresses that are separated by commas.
func addresses(text string) []deployment.Address {
	var list []deployment.Address
	for _, address := range strings.Split(text, ",") {
		list = append(list, deployment.Address(address))
	}
	return list
}

func parseStage(t *testing.T, fields []string) Stage {
	s := Stage{
		ID: deployment.BackendID(fields[0]), Address: deployment.Address(fields[0]), Zone: deployment.Zone(fields[1]),
		Accelerator: accelerators[fields[2]],
	}
	_, err := fmt.Sscanf(fields[3], "%d-%d", &s.Layers.First, &s.Layers.End)
	assert.NilError(t, err)
	for _, field := range fields[4:] {
		name, text, _ := strings.Cut(field, "=")
		var value float64
		_, err := fmt.Sscan(text, &value)
		assert.NilError(t, err)
		switch name {
		case "requests":
			s.Requests = int(value)
		case "slow":
			s.Slowdown = value
		case "wait":
			s.Wait = time.Duration(value) * time.Millisecond
		case "prefill":
			s.PrefillPerLayer = value * float64(time.Millisecond)
		case "start":
			s.TimeToFirstEvent = time.Duration(value) * time.Millisecond
		}
	}
	return s
}

func format(path Path, ok bool) string {
	if !ok {
		return "none"
	}
	var hops []string
	for _, hop := range path.Hops {
		hops = append(hops, fmt.Sprintf("%s=%d-%d", hop.Address, hop.Layers.First, hop.Layers.End))
	}
	return strings.Join(hops, " ")
}

// TestFindRunsEveryLayer finds paths over random stages. A path must run every layer once
// and in order, on stages that hold the layers, and must not be found while a layer is
// on no stage.
func TestFindRunsEveryLayer(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		engine := testEngine()
		var stages []Stage
		for i := range rapid.IntRange(1, 30).Draw(t, "stages") {
			first := rapid.IntRange(0, engine.Layers-1).Draw(t, "first")
			end := rapid.IntRange(first+1, engine.Layers).Draw(t, "end")
			name := fmt.Sprintf("s%d", i)
			stages = append(stages, Stage{
				ID: deployment.BackendID(name), Address: deployment.Address(name),
				Zone:   deployment.Zone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")),
				Layers: deployment.LayerRange{First: first, End: end}, Accelerator: accelerators["l4"],
				Requests: rapid.IntRange(0, 300).Draw(t, "requests"), Slowdown: 1,
			})
		}
		path, ok := Find(engine, stages, "a")
		if !ok {
			return
		}
		if problem := Check(engine, path.Hops); problem != "" {
			t.Fatalf("%s: %v", problem, path.Hops)
		}
		if len(MissingLayers(engine, stages)) > 0 {
			t.Fatalf("path over layers that no stage holds: %v", path.Hops)
		}
		for i, hop := range path.Hops {
			for _, stage := range stages {
				if stage.ID == path.IDs[i] && !stage.Layers.Contains(hop.Layers) {
					t.Fatalf("%s does not hold %v", stage.ID, hop.Layers)
				}
			}
		}
	})
}

// TestCheck guards against a check that accepts invalid paths, such as those with gaps,
// overlaps, empty hops or repeated servers.
func TestCheck(t *testing.T) {
	hop := func(address deployment.Address, first, end int) deployment.Hop {
		return deployment.Hop{Address: address, Layers: deployment.LayerRange{First: first, End: end}}
	}
	engine := testEngine()
	for _, broken := range [][]deployment.Hop{
		{},
		{hop("a", 0, 79)},
		{hop("a", 1, 80)},
		{hop("a", 0, 40), hop("b", 41, 80)},
		{hop("a", 0, 40), hop("b", 39, 80)},
		{hop("a", 0, 40), hop("b", 40, 60), hop("a", 60, 80)},
		{hop("a", 0, 40), hop("b", 40, 40), hop("c", 40, 80)},
	} {
		assert.Assert(t, Check(engine, broken) != "", "%v", broken)
	}
	assert.Equal(t, Check(engine, []deployment.Hop{hop("a", 0, 40), hop("b", 40, 80)}), "")
}
