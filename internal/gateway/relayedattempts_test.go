package gateway

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/platform"
)

// TestServerRefusedHereRunsAtPeerUncounted guards against a request that is relayed once more, and runs
// at more servers than the route allows, since a server that ran it had refused a connection before.
func TestServerRefusedHereRunsAtPeerUncounted(t *testing.T) {
	d := newRelayDeployment(t, relayVersions{origin: 1, peer: 1})
	d.respond = func(w http.ResponseWriter, _ *http.Request) bool {
		d.runs.Add(1)
		w.Header().Set(platform.HeaderSignature, "s")
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	result := d.send(http.MethodGet, "/two/x")
	assert.Equal(t, result.status, http.StatusInternalServerError)
	assert.Equal(t, d.runs.Load(), int64(2))
}
