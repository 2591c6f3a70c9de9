package main

import (
	"net/http"
	"time"
)

// configBound is config-ms, by which a version is in force.
const configBound = 2 * time.Second

// playNoTenants takes the only tenant away and then sends a request with a key that no configuration ever held.
func playNoTenants(p *play) (bool, error) {
	if err := p.start(configurationOf(1, tenants), 2); err != nil {
		return false, err
	}
	if err := p.fleet.add(plainService, ""); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	sound := attempt{method: http.MethodPost, path: unsafePath + "2f", key: apiKey, deadline: 1500 * time.Millisecond}
	if err := p.awaitModel(sound); err != nil {
		return false, err
	}
	stranger := sound
	stranger.key, stranger.body = "key-of-nobody", "stranger"
	p.record.note("before: %s", send(p.instances[0].front, stranger))
	if p.trouble {
		p.putConfiguration(configurationOf(2, "[]"))
		p.record.note("version 2 is acknowledged, without tenants")
	}
	time.Sleep(2 * configBound)
	ran := false
	for _, in := range p.instances {
		got := send(in.front, stranger)
		p.record.note("%s answers a key that no configuration held: %s", in.name, got)
		for _, r := range p.fleet.runsOf() {
			if r.request == got.id {
				ran = true
				p.record.note("runner %s has run request %s, X-Tenant %q", r.runner, r.request, r.tenant)
			}
		}
	}
	return ran, nil
}

// playOptions asks for the options of the server as a whole, which no route allows.
func playOptions(p *play) (bool, error) {
	if err := p.start(configurationOf(1, tenants), 1); err != nil {
		return false, err
	}
	if err := p.fleet.add(plainService, ""); err != nil {
		return false, err
	}
	if err := p.awaitReady(); err != nil {
		return false, err
	}
	sound := attempt{method: http.MethodPost, path: unsafePath + "2f", key: apiKey, deadline: 1500 * time.Millisecond}
	if err := p.awaitModel(sound); err != nil {
		return false, err
	}
	unknown := attempt{method: http.MethodGet, path: "/never-was/1", key: apiKey, deadline: time.Second}
	if p.trouble {
		unknown.method, unknown.path = http.MethodOptions, "*"
	}
	got := send(p.instances[0].front, unknown)
	p.record.note("%s %s: %s", unknown.method, unknown.path, got)
	return got.status >= 200 && got.status < 300 && !got.signed, nil
}
