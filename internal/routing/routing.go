// Package routing answers, from one version of the configuration, where a
// request goes, which team sent it, and what may be repeated of it. It holds the
// newest version that this process has heard of and never an older one.
//
// Usage: one ActiveTable in each process; every request takes the table once and
// uses it to its end:
//
//	active.UpdateIfNewer(configuration)
//	table, ok := active.Load()
//	decision, err := table.Decide(host, path, key)
//
// Decide answers for every request, at 45,000 teams and 110 routes and more, so
// that both keys and hosts are found by a map.
package routing

import (
	"fmt"
	"sort"
	"strings"
	"sync/atomic"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Table is one version of the configuration, prepared for look-ups.
type Table struct {
	configuration deployment.Configuration
	hosts         map[string][]*deployment.Route // longest prefix first
	teams         map[deployment.APIKey]*deployment.TeamKeys
	services      map[deployment.ServiceName]*deployment.Service
}

// NewTable prepares a configuration.
func NewTable(c deployment.Configuration) *Table {
	t := &Table{
		configuration: c,
		hosts:         map[string][]*deployment.Route{},
		teams:         map[deployment.APIKey]*deployment.TeamKeys{},
		services:      map[deployment.ServiceName]*deployment.Service{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].APIKeys {
			t.teams[key] = &c.Teams[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version is the version of the configuration.
func (t *Table) Version() deployment.Version { return t.configuration.Version }

// Limits bound what clients may send.
func (t *Table) Limits() deployment.Limits { return t.configuration.Limits }

// Service returns a service by its name.
func (t *Table) Service(name deployment.ServiceName) (*deployment.Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns all services.
func (t *Table) Services() []deployment.Service { return t.configuration.Services }

// Decision is where a request goes and for whom.
type Decision struct {
	Route     *deployment.Route
	Team      deployment.Team // empty on public routes
	Priority  int
	TeamCount int // how many teams the configuration has
}

// NoRouteError says that no route matches.
type NoRouteError struct {
	Host string
	Path string
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// UnknownKeyError says that no team holds the key of a request.
type UnknownKeyError struct {
	Route deployment.RouteName
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("route %s needs the key of a team", e.Route)
}

// Decide finds the route and the team of a request. Errors are a *NoRouteError
// or an *UnknownKeyError.
func (t *Table) Decide(host, path string, key deployment.APIKey) (Decision, error) {
	route := t.match(host, path)
	if route == nil {
		return Decision{}, &NoRouteError{Host: host, Path: path}
	}
	decision := Decision{Route: route, Priority: route.Priority, TeamCount: len(t.configuration.Teams)}
	if len(t.configuration.Teams) == 0 {
		return decision, nil
	}
	team, ok := t.teams[key]
	if ok {
		decision.Team = team.Team
		if team.HasPriority {
			decision.Priority = team.Priority
		}
		return decision, nil
	}
	if route.Public {
		return decision, nil
	}
	return Decision{}, &UnknownKeyError{Route: route.Name}
}

func (t *Table) match(host, path string) *deployment.Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// PickService chooses a service of the route by weight; draw is in [0, 1).
func PickService(route *deployment.Route, draw float64) (deployment.ServiceName, bool) {
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	left := draw * total
	for _, target := range route.Targets {
		left -= target.Weight
		if left < 0 {
			return target.Service, true
		}
	}
	return "", false
}

// ActiveTable holds the table in force.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Load returns the table in force, false before the first one.
func (c *ActiveTable) Load() (*Table, bool) {
	table := c.table.Load()
	return table, table != nil
}

// UpdateIfNewer puts a configuration in force if it is newer than what is in force, and
// tells whether it was.
func (c *ActiveTable) UpdateIfNewer(configuration deployment.Configuration) bool {
	next := NewTable(configuration)
	for {
		old := c.table.Load()
		if old != nil && old.Version() >= next.Version() {
			return false
		}
		if c.table.CompareAndSwap(old, next) {
			return true
		}
	}
}
