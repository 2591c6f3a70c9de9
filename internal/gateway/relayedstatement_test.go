package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/platform"
)

// addModelServer adds a model server that has a whole copy of the model in a zone without others.
func (d *relayDeployment) addModelServer(id deployment.BackendID) {
	server := httptest.NewServer(http.HandlerFunc(d.serve))
	d.t.Cleanup(server.Close)
	entry := d.servers[len(d.servers)-1]
	entry.ID, entry.Zone, entry.Address = id, "zone-1", deployment.Address(server.Listener.Addr().String())
	d.servers = append(d.servers, entry)
	for _, g := range []*Gateway{d.origin, d.peer} {
		g.Fleet.Put(entry)
	}
}

// TestRelayedAnswerNamesAnotherServerAsLeaving guards against requests to a server that has said in a
// relayed answer that it leaves, while another one that may have run the request is taken for it.
func TestRelayedAnswerNamesAnotherServerAsLeaving(t *testing.T) {
	cases := map[string]struct {
		method, path string
		// respond answers the first and the second attempt of the request.
		respond [2]func(w http.ResponseWriter)
		leaver  int // the attempt whose answer is returned
	}{
		"stream after an attempt without an answer": {
			http.MethodPost, "/resumable/whole",
			[2]func(http.ResponseWriter){func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, nil}, 1,
		},
		"first of two errors": {
			http.MethodGet, "/two/x",
			[2]func(http.ResponseWriter){func(w http.ResponseWriter) { w.WriteHeader(http.StatusInternalServerError) }, func(w http.ResponseWriter) {
				w.WriteHeader(http.StatusInternalServerError)
			}}, 0,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newRelayDeployment(t, relayVersions{origin: 1, peer: 1})
			d.addModelServer("a-0") // before m-0, which is in the peer's zone, by its id
			var tried []deployment.BackendID
			d.respond = func(w http.ResponseWriter, r *http.Request) bool {
				attempt := min(len(tried), 1)
				tried = append(tried, deployment.BackendID(r.Header.Get(platform.HeaderExpectBackend)))
				d.peer.Fleet.MarkSuspect(time.Now(), deployment.Address(r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()))
				w.Header().Set(platform.HeaderSignature, "s")
				if attempt == c.leaver {
					w.Header().Set(platform.HeaderLeaving, "1")
				}
				if c.respond[attempt] == nil {
					return false
				}
				c.respond[attempt](w)
				return true
			}
			result := d.send(c.method, c.path)
			assert.NilError(t, result.err)
			assert.Equal(t, result.header.Get(platform.HeaderLeaving), "1")
			assert.Equal(t, len(tried), 2, "%v", tried)
			for attempt, id := range tried {
				stays := attempt != c.leaver
				assert.Check(t, d.origin.Fleet.TakesRequests(time.Now(), id) == stays, "attempt %d, at %s", attempt, id)
			}
		})
	}
}
