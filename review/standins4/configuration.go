package main

import (
	"encoding/json"

	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

// The names in a case. The platform generates new ones for each deployment.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	routeHost    = "ficu95.example"
	streamPath   = "/lohu930/2f"
	unsafePath   = "/puxa403/2f"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	teamName     = "hule930"
	// unknownKey is a key that no configuration holds.
	unknownKey   = "zzz3k9qwe81mvnb2xaol"
	firstVersion = 7
)

// firstTenants returns the tenants of the first configuration, as they are written there.
func firstTenants() []any {
	return []any{map[string]any{"name": teamName, "api-keys": []string{apiKey}, "priority": 1}}
}

// putConfiguration writes the configuration as the operator does, with the values of the users' small sites.
func putConfiguration(store *platformtest.Store, version int, tenants []any) error {
	route := map[string]any{
		"name": "r-stream", "host": routeHost, "path-prefix": "/lohu930/", "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 500, "priority": 1,
		"service": modelService, "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "target-gap-ms": 200,
	}
	unsafe := map[string]any{
		"name": "r-unsafe", "host": routeHost, "path-prefix": "/puxa403/", "kind": "unsafe", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2,
		"service": plainService, "max-attempts": 1, "public": false,
	}
	engine := map[string]any{
		"slots": modelSlots, "kv-tokens": 100000, "kv-bytes": 590000, "link-mbps": 480000, "stride": 2, "models": []any{map[string]any{"name": "daka510000", "pace": 1, "load-s": 14}},
		"step_ms": 0.85, "per_seq_ms": 0.00382, "context_per_k": 0.00512, "read_per_s": 196000, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 200,
		"loads_at_once": 6, "usual": map[string]any{"prompt": 772, "answer": 174}, "layers": 80, "layer-mb": layerMB, "activation-bytes": 29500,
		"kinds": []any{map[string]any{"name": serverKind, "megabytes": kindMB, "pace": 1.4, "read-factor": 1}},
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{route, unsafe},
		"services": []any{
			map[string]any{"name": modelService, "health-path": "/health", "max-connections": 908, "engine": engine},
			map[string]any{"name": plainService, "health-path": "/health", "max-connections": 52},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	})
	if err != nil {
		return err
	}
	store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, value)
	return nil
}
