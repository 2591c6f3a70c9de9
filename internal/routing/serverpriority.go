package routing

import (
	"slices"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// serverPriorities is the number of priorities that a backend server distinguishes, from 0, the
// most urgent.
const serverPriorities = 10

// ranksOf returns the ranks that requests for each model service may have, from the most urgent,
// for the services whose routes differ in priority.
func ranksOf(c *deployment.Configuration) map[deployment.ServiceName][]Rank {
	routes := map[deployment.ServiceName][]int{}
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			if !slices.Contains(routes[target.Service], c.Routes[i].Priority) {
				routes[target.Service] = append(routes[target.Service], c.Routes[i].Priority)
			}
		}
	}
	teams := teamPriorities(c)
	ranks := map[deployment.ServiceName][]Rank{}
	for i := range c.Services {
		name := c.Services[i].Name
		if c.Services[i].Engine == nil || len(routes[name]) < 2 {
			continue
		}
		var all []Rank
		for _, route := range routes[name] {
			all = append(all, Rank{Priority: route, Route: route})
			for _, team := range teams {
				all = append(all, Rank{Priority: team, Route: route})
			}
		}
		slices.SortFunc(all, Rank.Compare)
		ranks[name] = slices.Compact(all)
	}
	return ranks
}

// teamPriorities returns the priorities that teams have in place of those of the routes.
func teamPriorities(c *deployment.Configuration) []int {
	known := map[int]bool{}
	var priorities []int
	for i := range c.Teams {
		if team := &c.Teams[i]; team.HasPriority && !known[team.Priority] {
			known[team.Priority] = true
			priorities = append(priorities, team.Priority)
		}
	}
	return priorities
}

// ServerPriority returns how urgent a request is for the backend servers of a service, from 0, the
// most urgent, to 9: its place among the ranks that the configuration allows. It returns false if
// the service is not a model service or the priorities of its routes don't differ.
func (t *Table) ServerPriority(service deployment.ServiceName, rank Rank) (int, bool) {
	ranks := t.ranks[service]
	if len(ranks) == 0 {
		return 0, false
	}
	place, _ := slices.BinarySearchFunc(ranks, rank, Rank.Compare)
	if len(ranks) > serverPriorities {
		place = place * serverPriorities / len(ranks)
	}
	return min(place, serverPriorities-1), true
}
