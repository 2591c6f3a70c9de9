package gateway

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/platform"
)

// TestAnswerCutInItsHeadLooksWhole guards against an answer that a server breaks off in its head and
// that its caller gets as a success, with an empty or a short body.
func TestAnswerCutInItsHeadLooksWhole(t *testing.T) {
	heads := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 400\r\n\r\n",
		"no end": "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
	}
	direct, _ := newDirectDeployment(t)
	for place, d := range map[string]*relayDeployment{"direct": direct, "relayed": newRelayDeployment(t, relayVersions{origin: 1, peer: 1})} {
		for name, head := range heads {
			t.Run(place+" "+name, func(t *testing.T) {
				for cut := range len(head) {
					if !strings.ContainsAny(head[max(0, cut-1):cut+1], "\r\n40") {
						continue // TestResponseCutInItsHead of package backend has these
					}
					d.respond = func(w http.ResponseWriter, _ *http.Request) bool {
						connection, _, err := http.NewResponseController(w).Hijack()
						assert.NilError(t, err)
						_, _ = connection.Write([]byte(head[:cut])) // the caller may have left
						_ = connection.Close()
						return true
					}
					for _, path := range []string{"/once/x", "/stream/whole"} {
						result := d.send(http.MethodPost, path)
						signed := result.header.Get(platform.HeaderSignature) != ""
						assert.Check(t, result.status >= http.StatusInternalServerError && !signed, "%s, %d bytes: status %d", path, cut, result.status)
					}
				}
			})
		}
	}
}
