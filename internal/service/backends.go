// Package service sends calls to plain services: idempotent calls with retries
// from a budget, and non-idempotent ones so that it is known whether anything
// was written.
//
// Usage: keep a Balancer up to date with the instance list, then Call for an
// idempotent call, or NewDispatcher for a claim.Executor to run:
//
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

// NoBackendError says that no backend server may take the call.
type NoBackendError struct {
	Service environment.ServiceName
}

func (e *NoBackendError) Error() string {
	return fmt.Sprintf("no backend server for service %s", e.Service)
}

// Backend is one backend server of a plain service.
type Backend struct {
	instancelist.Instance
	inFlight int
	ejection ejection.State
}

// Balancer is the backend servers of all plain services. It is not safe for
// concurrent use.
type Balancer struct {
	zone instancelist.Zone
	all  map[instancelist.ID]*Backend
}

// NewBalancer returns an empty set seen from an availability zone.
func NewBalancer(zone instancelist.Zone) *Balancer {
	return &Balancer{zone: zone, all: map[instancelist.ID]*Backend{}}
}

// SetBackends takes the services of the instance list. What is known of those
// that stay is kept.
func (b *Balancer) SetBackends(services []instancelist.Instance) {
	kept := make(map[instancelist.ID]*Backend, len(services))
	for _, i := range services {
		backend, ok := b.all[i.ID]
		if !ok || backend.Address != i.Address {
			backend = &Backend{}
		}
		backend.Instance = i
		kept[i.ID] = backend
	}
	b.all = kept
}

// Choose returns the least busy backend server for new work, in the own
// availability zone where there is one. It never returns one that is leaving
// or was tried. Ejected ones come last.
func (b *Balancer) Choose(now time.Time, name environment.ServiceName, tried map[instancelist.ID]bool) (*Backend, error) {
	var list []*Backend
	for _, backend := range b.all {
		if backend.Serves == string(name) && !backend.Leaving && !tried[backend.ID] {
			list = append(list, backend)
		}
	}
	if len(list) == 0 {
		return nil, &NoBackendError{Service: name}
	}
	sort.Slice(list, func(i, j int) bool { return b.before(now, list[i], list[j]) })
	return list[0], nil
}

func (b *Balancer) before(now time.Time, x, y *Backend) bool {
	xOut, yOut := x.ejection.Ejected(now), y.ejection.Ejected(now)
	if xOut != yOut {
		return yOut
	}
	xNear, yNear := x.Zone == b.zone, y.Zone == b.zone
	if xNear != yNear {
		return xNear
	}
	if x.inFlight != y.inFlight {
		return x.inFlight < y.inFlight
	}
	return x.ID < y.ID
}
