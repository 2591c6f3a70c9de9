package backend

import (
	"fmt"

	"mulberryhead.org/mulberryhead/internal/deployment"
)

// EntryError reports an entry of the backend list that describes no backend server of a configured
// service, as another writer may have left it.
type EntryError struct {
	ID    deployment.BackendID
	Field string
	Cause string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("backend server %s: %s %s", e.ID, e.Field, e.Cause)
}

// AddServices adds the services that a configuration names to those of earlier ones. Entries of other
// services describe no backend server; they are kept aside, as a later configuration may name their
// service. Before the first call each service counts as named.
func (f *Fleet) AddServices(services []deployment.Service) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.services == nil {
		f.services = map[deployment.ServiceName]*deployment.Service{}
	}
	for i := range services {
		f.services[services[i].Name] = &services[i]
	}
	for id, entry := range f.unconfigured {
		if f.services[entry.Service] != nil {
			delete(f.unconfigured, id)
			f.put(entry)
		}
	}
}

// Check returns an *EntryError if an entry describes no backend server of a configured service, nil
// otherwise.
func (f *Fleet) Check(entry deployment.Backend) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.check(entry)
}

func (f *Fleet) check(entry deployment.Backend) error {
	if f.services == nil {
		return nil
	}
	service := f.services[entry.Service]
	if service == nil {
		return &EntryError{ID: entry.ID, Field: "service", Cause: "is not configured"}
	}
	if service.Engine == nil {
		return nil
	}
	if _, ok := service.Engine.Accelerators[entry.Accelerator]; !ok {
		return &EntryError{ID: entry.ID, Field: "kind", Cause: "is none of its service"}
	}
	if !f.holdable(entry.Service, entry.Layers) {
		return &EntryError{ID: entry.ID, Field: "layers", Cause: fmt.Sprintf("end at %d, the model has %d", entry.Layers.End, service.Engine.Layers)}
	}
	return nil
}

// holdable reports whether a range of layers is within those of a service.
func (f *Fleet) holdable(name deployment.ServiceName, layers deployment.LayerRange) bool {
	service := f.services[name]
	return service == nil || service.Engine == nil || layers.First >= 0 && layers.End <= service.Engine.Layers
}

// keepAside keeps an entry whose service is not configured. It reports false if the service is.
func (f *Fleet) keepAside(entry deployment.Backend) bool {
	if f.services == nil || f.services[entry.Service] != nil {
		delete(f.unconfigured, entry.ID)
		return false
	}
	f.unconfigured[entry.ID] = entry
	return true
}
