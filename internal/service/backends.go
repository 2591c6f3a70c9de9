// Package service sends calls to plain services, which are backend services that run
// no model. Idempotent calls are retried within a retry budget. For non-idempotent
// calls, the result says whether the backend server may have received the call.
//
// Usage: create a Client and pass it the backend servers of the instance list with
// Client.SetBackends whenever the list changes. Then use Client.Call for an idempotent
// call, or Client.NewDispatcher for a call that a claim.Executor runs at most once:
//
//	client := service.NewClient(zone)
//	client.SetBackends(instances)
//	response, err := client.Call(ctx, request)
package service

import (
	"fmt"
	"sort"
	"time"

	"mulberryhead.org/mulberryhead/internal/ejection"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// NoBackendError is returned if no backend server is available for the call: all are
// draining or were tried, or there is none.
type NoBackendError struct {
	Service environment.ServiceName
}

func (e *NoBackendError) Error() string {
	return fmt.Sprintf("no backend server for service %s", e.Service)
}

// Backend is one backend server of a plain service, with its load and ejection state.
type Backend struct {
	instancelist.Instance
	inFlight int
	ejection ejection.State
}

// Balancer chooses among the backend servers of all plain services. It is not safe
// for concurrent use.
type Balancer struct {
	zone instancelist.Zone
	byID map[instancelist.ID]*Backend
}

// NewBalancer returns a balancer without backend servers, which prefers those in the
// given availability zone.
func NewBalancer(zone instancelist.Zone) *Balancer {
	return &Balancer{zone: zone, byID: map[instancelist.ID]*Backend{}}
}

// SetBackends replaces the backend servers by those of the instance list. The
// state of those whose ID and address did not change is kept.
func (b *Balancer) SetBackends(servers []instancelist.Instance) {
	kept := make(map[instancelist.ID]*Backend, len(servers))
	for _, i := range servers {
		backend, ok := b.byID[i.ID]
		if !ok || backend.Address != i.Address {
			backend = &Backend{}
		}
		backend.Instance = i
		kept[i.ID] = backend
	}
	b.byID = kept
}

// Choose returns the backend server for a new call: the one with the fewest calls in
// flight, in the balancer's availability zone if there is one. It never returns one
// that is draining or in tried. Ejected ones are used only if no other is left. The
// error is a *NoBackendError.
func (b *Balancer) Choose(now time.Time, name environment.ServiceName, tried map[instancelist.ID]bool) (*Backend, error) {
	var candidates []*Backend
	for _, backend := range b.byID {
		if backend.Serves == string(name) && !backend.Leaving && !tried[backend.ID] {
			candidates = append(candidates, backend)
		}
	}
	if len(candidates) == 0 {
		return nil, &NoBackendError{Service: name}
	}
	sort.Slice(candidates, func(i, j int) bool { return b.less(now, candidates[i], candidates[j]) })
	return candidates[0], nil
}

func (b *Balancer) less(now time.Time, x, y *Backend) bool {
	xEjected, yEjected := x.ejection.Ejected(now), y.ejection.Ejected(now)
	if xEjected != yEjected {
		return yEjected
	}
	xLocal, yLocal := x.Zone == b.zone, y.Zone == b.zone
	if xLocal != yLocal {
		return xLocal
	}
	if x.inFlight != y.inFlight {
		return x.inFlight < y.inFlight
	}
	return x.ID < y.ID
}
