package backend

import (
	"time"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/reachability"
)

// Endpoints returns the listed backend servers of each service that are not draining.
func (f *Fleet) Endpoints() map[deployment.ServiceName][]reachability.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoints := map[deployment.ServiceName][]reachability.Server{}
	for _, s := range f.servers {
		if s.listed() {
			endpoints[s.Service] = append(endpoints[s.Service], reachability.Server{Address: s.Address, Zone: s.Zone})
		}
	}
	return endpoints
}

// Entries returns the listed servers to which requests for a service are sent: all of a plain
// service, and the first stages of a model service.
func (f *Fleet) Entries(now time.Time, service *deployment.Service) []deployment.Address {
	f.mu.Lock()
	defer f.mu.Unlock()
	var entries []deployment.Address
	for _, s := range f.servers {
		if s.Service != service.Name || !s.listed() {
			continue
		}
		if layers := s.availableLayers(now); service.Engine == nil || layers.First == 0 && layers.Len() > 0 {
			entries = append(entries, s.Address)
		}
	}
	return entries
}

// Incarnations returns the incarnations of the servers of a service, as they are listed.
func (f *Fleet) Incarnations(service deployment.ServiceName) []deployment.Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	var incarnations []deployment.Incarnation
	for _, s := range f.servers {
		if s.Service == service {
			incarnations = append(incarnations, s.Incarnation())
		}
	}
	return incarnations
}

// listed reports whether a server is in the list and stays.
func (s *server) listed() bool { return !s.Draining && s.missingSince.IsZero() }

// ZoneStages returns the listed model servers of this zone.
func (f *Fleet) ZoneStages() []deployment.Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	var stages []deployment.Backend
	for _, s := range f.servers {
		if s.Accelerator != "" && s.Zone == f.zone && s.listed() {
			stages = append(stages, s.Backend)
		}
	}
	return stages
}

// At returns the backend server at an address, and false if none is known there.
func (f *Fleet) At(address deployment.Address) (deployment.BackendID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byAddress(address); s != nil {
		return s.ID, true
	}
	return "", false
}

// ServerAt returns the entry of the backend server at an address, and false if none is known there.
func (f *Fleet) ServerAt(address deployment.Address) (deployment.Backend, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.byAddress(address); s != nil {
		return s.Backend, true
	}
	return deployment.Backend{}, false
}

// AddressOf returns the address of a backend server, and false if it is not known.
func (f *Fleet) AddressOf(id deployment.BackendID) (deployment.Address, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.servers[id]; ok {
		return s.Address, true
	}
	return "", false
}

// RequestsOn returns the requests of this instance on the backend server at an address, and the
// estimated requests of all instances.
func (f *Fleet) RequestsOn(now time.Time, address deployment.Address) (own, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.expire(now)
	if s := f.byAddress(address); s != nil {
		return s.inFlight, f.requestsOn(s)
	}
	return 0, 0
}
