package routing

import (
	"cmp"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/prove"
)

func testConfiguration(version deployment.Version) deployment.Configuration {
	return deployment.Configuration{
		Version: version,
		Routes: []deployment.Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Priority: 3},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Priority: 2},
			{Name: "open", Host: "b.example", PathPrefix: "/", Public: true},
		},
		RequiresKey: true,
		Teams: []deployment.TeamKeys{
			{Team: "one", APIKeys: []deployment.APIKey{"k1", "k2"}},
			{Team: "two", APIKeys: []deployment.APIKey{"k3"}, Priority: 0, HasPriority: true},
		},
	}
}

func TestDecide(t *testing.T) {
	table := NewTable(testConfiguration(1))
	for _, c := range []struct {
		host, path string
		key        deployment.APIKey
		route      deployment.RouteName
		team       deployment.Team
		rank       Rank
	}{
		{"a.example", "/x/", "k1", "all", "one", Rank{Priority: 3, Route: 3}},
		{"a.example", "/x/y/z", "k2", "deep", "one", Rank{Priority: 2, Route: 2}},
		{"a.example", "/x/y", "k3", "all", "two", Rank{Priority: 0, Route: 3}},
		{"b.example", "/", "", "open", "", Rank{}},
		{"b.example", "/", "gone", "open", "", Rank{}},
	} {
		got, err := table.Decide(c.host, c.path, c.key)
		assert.NilError(t, err)
		assert.Equal(t, got.Route.Name, c.route)
		assert.Equal(t, got.Team, c.team)
		assert.Equal(t, got.Rank, c.rank)
	}
	var unknown *UnknownKeyError
	_, err := table.Decide("a.example", "/", "gone")
	assert.Assert(t, errors.As(err, &unknown))
	var noRoute *NoRouteError
	_, err = table.Decide("c.example", "/", "k1")
	assert.Assert(t, errors.As(err, &noRoute))
}

// TestActiveVersionNeverDecreases passes versions in random order to UpdateIfNewer.
func TestActiveVersionNeverDecreases(t *testing.T) {
	prove.Random(t, func(t *rapid.T) {
		var active ActiveTable
		newest := deployment.Version(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			version := deployment.Version(rapid.IntRange(1, 30).Draw(t, "version"))
			updated := active.UpdateIfNewer(testConfiguration(version))
			if updated != (version > newest) {
				t.Fatalf("version %d after %d: updated %t", version, newest, updated)
			}
			newest = max(newest, version)
			table, ok := active.Load()
			if !ok || table.Version() != newest {
				t.Fatalf("version %d is active, not %d", table.Version(), newest)
			}
		}
	})
}

func TestPickServiceByWeight(t *testing.T) {
	route := &deployment.Route{Targets: []deployment.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for draw, want := range map[float64]deployment.ServiceName{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		got, ok := PickService(route, draw)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
	}
	_, ok := PickService(&deployment.Route{}, 0.5)
	assert.Assert(t, !ok)
}

// TestRankOrder guards against routes that are equally urgent for all requests whose teams have
// the same priority.
func TestRankOrder(t *testing.T) {
	ordered := []Rank{{Priority: 0, Route: 9}, {Priority: 1, Route: 0}, {Priority: 1, Route: 2}, {Priority: 2, Route: -1}}
	for i, a := range ordered {
		for j, b := range ordered {
			assert.Equal(t, a.Compare(b), cmp.Compare(i, j), "%s, %s", a, b)
		}
	}
}

// TestServerPriority guards against requests that a backend server takes for equally urgent, and
// against a header where the priorities of the routes don't differ.
func TestServerPriority(t *testing.T) {
	route := func(service deployment.ServiceName, priority int) deployment.Route {
		return deployment.Route{Priority: priority, Targets: []deployment.WeightedService{{Service: service, Weight: 1}}}
	}
	engine := &deployment.Engine{}
	c := deployment.Configuration{
		Routes:   []deployment.Route{route("model", 2), route("model", 0), route("equal", 1), route("equal", 1), route("plain", 0), route("plain", 1)},
		Services: []deployment.Service{{Name: "model", Engine: engine}, {Name: "equal", Engine: engine}, {Name: "plain"}},
		Teams:    []deployment.TeamKeys{{Team: "one", Priority: 1, HasPriority: true}},
	}
	for i := range 8 {
		c.Routes = append(c.Routes, route("many", i*10))
	}
	c.Services = append(c.Services, deployment.Service{Name: "many", Engine: engine})
	table := NewTable(c)
	for rank, want := range map[Rank]int{{Priority: 0, Route: 0}: 0, {Priority: 1, Route: 0}: 1, {Priority: 1, Route: 2}: 2, {Priority: 2, Route: 2}: 3, {Priority: 7, Route: 7}: 4, {Priority: -1}: 0} {
		got, ok := table.ServerPriority("model", rank)
		assert.Assert(t, ok)
		assert.Equal(t, got, want, "%s", rank)
	}
	for _, service := range []deployment.ServiceName{"equal", "plain", "unknown"} {
		_, ok := table.ServerPriority(service, Rank{})
		assert.Assert(t, !ok, "%s", service)
	}
	last := 0
	for i := range 8 { // 16 ranks
		got, ok := table.ServerPriority("many", Rank{Priority: i * 10, Route: i * 10})
		assert.Assert(t, ok && got >= last && got <= 9)
		last = got
	}
	assert.Equal(t, last, 9)
}
