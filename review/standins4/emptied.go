package main

import "time"

const (
	// configurationTime is the bound config-ms of the users' small sites, after which only the new version counts.
	configurationTime = 2 * time.Second
	// strangerBody is the body of the calls with a key that no configuration has ever held.
	strangerBody  = "call of a stranger"
	strangerCalls = 4
	keptBody      = "sound call"
	// emptiedVersion is the version that takes the last key away.
	emptiedVersion = 9
)

// playEmptied takes away the last tenant, and then sends calls with a key that no configuration ever held.
func playEmptied(o *options, r *record) (bool, error) {
	s, err := newScene(o, r, func(string) bool { return false })
	if err != nil {
		return false, err
	}
	defer s.close()
	if err := s.addServers(); err != nil {
		return false, err
	}
	if err := s.startInstances(len(zones), string(s.store.Address()), nil); err != nil {
		return false, err
	}
	if err := s.awaitServed(unsafePath, keptBody, unsafeDeadline); err != nil {
		return false, err
	}
	sendStranger(r, s)
	tenants := []any{} // no tenant is left
	if o.Calm {
		tenants = []any{map[string]any{"name": teamName, "api-keys": []string{}, "priority": 1}} // one without a key
	}
	if err := putConfiguration(s.store, emptiedVersion, tenants); err != nil {
		return false, err
	}
	r.add("the operator writes version %d: %d tenants", emptiedVersion, len(tenants))
	time.Sleep(2 * configurationTime)
	for _, to := range s.instances {
		send(r, to, unsafePath, "call with the revoked key", apiKey, unsafeDeadline)
	}
	sendStranger(r, s)
	ran := 0
	for _, one := range s.servers.plainRuns() {
		if one.body == strangerBody {
			ran++
		}
	}
	r.add("calls with a key that no configuration ever held: %d of %d ran", ran, 2*strangerCalls*len(s.instances))
	return ran > 0, nil
}

// sendStranger sends calls with a key that no configuration holds.
func sendStranger(r *record, s *scene) {
	for range strangerCalls {
		for _, to := range s.instances {
			send(r, to, unsafePath, strangerBody, unknownKey, unsafeDeadline)
		}
	}
}
