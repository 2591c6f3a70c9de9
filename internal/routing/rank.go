package routing

import (
	"cmp"
	"fmt"
)

// Rank is how urgent a request is, 0 being the most urgent. Requests whose teams have the same
// priority are told apart by their routes.
type Rank struct {
	Priority int // of the team, or of the route for a team without one
	Route    int // priority of the route
}

// Compare returns a negative number if r is more urgent than other, 0 if both are equally
// urgent, and a positive number if r is less urgent.
func (r Rank) Compare(other Rank) int {
	if order := cmp.Compare(r.Priority, other.Priority); order != 0 {
		return order
	}
	return cmp.Compare(r.Route, other.Route)
}

// String returns both numbers, as in "1.0".
func (r Rank) String() string { return fmt.Sprintf("%d.%d", r.Priority, r.Route) }
