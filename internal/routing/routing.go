// Package routing determines from one version of the configuration which route a
// request takes, which team sent it, and how urgent it is. It keeps the newest
// version that this process has received; an older version never replaces it.
//
// Usage: keep one ActiveTable in each process. A request loads the table once and uses
// it until it ends:
//
//	active.UpdateIfNewer(configuration)
//	table, ok := active.Load()
//	decision, err := table.Decide(host, path, key)
//
// Decide runs for every request, with 45,000 teams, 110 routes and more. Therefore it
// looks up both API keys and hosts in maps.
package routing

import (
	"fmt"
	"sort"
	"strings"
	"sync/atomic"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// Table is one version of the configuration, indexed for lookups. It is immutable.
type Table struct {
	configuration deployment.Configuration
	hosts         map[string][]*deployment.Route // longest prefix first
	teams         map[deployment.APIKey]*deployment.TeamKeys
	services      map[deployment.ServiceName]*deployment.Service
	ranks         map[deployment.ServiceName][]Rank // of requests, from the most urgent
}

// NewTable builds a table from a configuration, which must not change afterwards.
func NewTable(c deployment.Configuration) *Table {
	t := &Table{
		configuration: c,
		hosts:         map[string][]*deployment.Route{},
		teams:         map[deployment.APIKey]*deployment.TeamKeys{},
		services:      map[deployment.ServiceName]*deployment.Service{},
		ranks:         ranksOf(&c),
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
			if key != "" { // what a request without a key has
				t.teams[key] = &c.Teams[i]
			}
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() deployment.Version { return t.configuration.Version }

// Limits returns the limits on what clients may send.
func (t *Table) Limits() deployment.Limits { return t.configuration.Limits }

// Service returns a service by its name. It returns false if the configuration has none
// of that name.
func (t *Table) Service(name deployment.ServiceName) (*deployment.Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Services returns all services.
func (t *Table) Services() []deployment.Service { return t.configuration.Services }

// Decision is the route, team and rank of a request.
type Decision struct {
	Route     *deployment.Route
	Team      deployment.Team // empty if no team's key was given
	Rank      Rank
	TeamCount int // number of teams in the configuration
}

// NoRouteError reports that no route matches the host and path of a request.
type NoRouteError struct {
	Host string
	Path string
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// UnknownKeyError reports that a route requires the API key of a team and that the key
// of the request belongs to none.
type UnknownKeyError struct {
	Route deployment.RouteName
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("route %s requires the API key of a team", e.Route)
}

// Decide finds the route, the team and the rank of a request. Errors are a *NoRouteError or an *UnknownKeyError.
func (t *Table) Decide(host, path string, key deployment.APIKey) (Decision, error) {
	route := t.match(host, path)
	if route == nil {
		return Decision{}, &NoRouteError{Host: host, Path: path}
	}
	decision := Decision{Route: route, Rank: Rank{Priority: route.Priority, Route: route.Priority}, TeamCount: len(t.configuration.Teams)}
	team, ok := t.teams[key]
	switch {
	case ok:
		decision.Team = team.Team
		if team.HasPriority {
			decision.Rank.Priority = team.Priority
		}
	case t.configuration.RequiresKey && !route.Public:
		return Decision{}, &UnknownKeyError{Route: route.Name}
	}
	return decision, nil
}

func (t *Table) match(host, path string) *deployment.Route {
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// PickService chooses a service of the route by weight, where draw is a random number in
// [0, 1). It returns false if the route has no targets.
func PickService(route *deployment.Route, draw float64) (deployment.ServiceName, bool) {
	total := 0.0
	for _, target := range route.Targets {
		total += target.Weight
	}
	remaining := draw * total
	for _, target := range route.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service, true
		}
	}
	return "", false
}

// ActiveTable holds the active table. The zero value has none. It is safe for concurrent
// use.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Load returns the active table. It returns false if there is none yet.
func (a *ActiveTable) Load() (*Table, bool) {
	table := a.table.Load()
	return table, table != nil
}

// UpdateIfNewer activates a configuration if its version is newer than the active one. It
// reports whether it did.
func (a *ActiveTable) UpdateIfNewer(configuration deployment.Configuration) bool {
	next := NewTable(configuration)
	for {
		old := a.table.Load()
		if old != nil && old.Version() >= next.Version() {
			return false
		}
		if a.table.CompareAndSwap(old, next) {
			return true
		}
	}
}
