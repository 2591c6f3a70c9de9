package main

import "fmt"

// The names of the deployment.
const (
	host         = "ficu95.example"
	modelService = "pool-model"
	plainService = "orders-app"
	streamPath   = "/lohu930/"
	unsafePath   = "/puxa403/"
	safePath     = "/dize118/"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	tenant       = "hule930"
)

// layers of the model, their size in megabytes, and the memory of a card of kind h100 in megabytes.
const (
	layers     = 80
	layerMB    = 1750
	cardMB     = 72000
	stallMS    = 2500
	loadS      = 14.0
	heartbeatM = 1200
)

// tenants is the list of tenants of the deployment, as JSON.
const tenants = `[{"name":"` + tenant + `","api-keys":["` + apiKey + `"]}]`

// configurationOf returns a configuration as the operator writes it, with routes like those of the small
// deployments and a list of tenants.
func configurationOf(version int, tenants string) string {
	return configurationWith(version, tenants, "")
}

// splitRoute is a route that a later version splits off the unsafe one, as JSON.
const splitRoute = `{"name":"r-open","host":"` + host + `","path-prefix":"` + unsafePath + `open/","kind":"safe","service":"` + plainService +
	`","timeout-ms":1200,"target-latency-ms":100,"priority":2,"max-attempts":2,"public":false},`

// configurationWith returns a configuration with further routes, as JSON, each with a comma behind it.
func configurationWith(version int, tenants, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%[13]s
{"name":"r-advice","host":%[2]q,"path-prefix":%[3]q,"kind":"streaming","service":%[6]q,"timeout-ms":20000,"target-latency-ms":500,"target-gap-ms":200,
"priority":1,"max-attempts":2,"public":false,"sticky":true,"resumable":true},
{"name":"r-booking","host":%[2]q,"path-prefix":%[4]q,"kind":"unsafe","service":%[7]q,"timeout-ms":1200,"target-latency-ms":100,"priority":2,"max-attempts":1,"public":false},
{"name":"r-status","host":%[2]q,"path-prefix":%[5]q,"kind":"safe","service":%[7]q,"timeout-ms":1200,"target-latency-ms":100,"priority":2,"max-attempts":2,"public":false}],
"services":[{"name":%[6]q,"health-path":"/health","max-connections":1068,"engine":{"slots":192,"kv-bytes":590000,"stride":2,"chunk":512,
"models":[{"name":"daka510000","load-s":%[8]g}],"step_ms":0.85,"per_seq_ms":0.004,"context_per_k":0.005,"read_per_s":196000,"report_lag_ms":200,
"usual":{"prompt":700,"answer":80},"layers":%[9]d,"layer-mb":%[10]d,"loads_at_once":6,"kinds":[{"name":"h100","megabytes":%[11]d,"pace":1.4,"read-factor":1}]}},
{"name":%[7]q,"health-path":"/health","max-connections":100}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":%[12]s}`, version, host, streamPath, unsafePath, safePath, modelService, plainService, loadS, layers, layerMB, cardMB, tenants, routes)
}
