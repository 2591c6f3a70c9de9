package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/http1"
	"mulberryhead.org/mulberryhead/internal/http1/http1test"
	"mulberryhead.org/mulberryhead/platform"
)

// places are the ways of an answer to a client: from a server, or through a peer.
var places = map[string]func(t *testing.T) *relayDeployment{
	"direct": func(t *testing.T) *relayDeployment {
		d, _ := newDirectDeployment(t)
		return d
	},
	"relayed": func(t *testing.T) *relayDeployment { return newRelayDeployment(t, relayVersions{origin: 1, peer: 1}) },
}

// TestBrokenAnswersReachNoClient guards against a broken answer that a client gets as one, whole or with
// another body, of a plain server or a stream, from a server or through a peer.
func TestBrokenAnswersReachNoClient(t *testing.T) {
	for _, answer := range http1test.Answers() {
		onEachWay(t, answer.Name, func(t *testing.T, d *relayDeployment, path string) { checkAnswer(t, d, path, answer) })
	}
}

// onEachWay runs a check of an answer for a plain server and a stream, from a server and through a peer.
func onEachWay(t *testing.T, answer string, check func(t *testing.T, d *relayDeployment, path string)) {
	for place, newDeployment := range places {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(place+path+"/"+answer, func(t *testing.T) {
				t.Parallel()
				check(t, newDeployment(t), path)
			})
		}
	}
}

// checkAnswer sends a request of which the server gives an answer, and checks what the client gets.
func checkAnswer(t *testing.T, d *relayDeployment, path string, answer http1test.Answer) {
	const fields = "X-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
	body := eventText(1) + eventText(2) + eventText(3)
	d.respond = func(w http.ResponseWriter, _ *http.Request) bool {
		d.runs.Add(1)
		writeRaw(t, w, answer.Bytes(fields, body))
		return true
	}
	result, err := d.trySend(http.MethodPost, path)
	assert.Equal(t, d.runs.Load(), int64(1))
	switch {
	case !answer.Refused:
		assert.NilError(t, errors.Join(err, result.err))
		assert.Equal(t, result.status, http.StatusOK)
		assert.Equal(t, result.body, body)
	case err == nil && result.err == nil: // otherwise the answer has broken off for the client too
		assert.Check(t, result.status >= http.StatusInternalServerError, "status %d, body %q", result.status, result.body)
		assert.Check(t, result.header.Get(platform.HeaderSignature) == "", "status %d", result.status)
	}
}

// TestAnswerThatIsResetDuringTheUploadReachesAClient guards against a client that gets a part of an answer as the
// whole one, of a server that has answered a long request at once and has reset the connection before it has read it:
// of a plain server or a stream, from a server or through a peer.
func TestAnswerThatIsResetDuringTheUploadReachesAClient(t *testing.T) {
	for _, size := range []int{http1test.WrittenUploadSize, gatewayUpload} {
		for _, answer := range http1test.UploadAnswers() {
			onEachWay(t, fmt.Sprint(answer.Name, "/", size), func(t *testing.T, d *relayDeployment, path string) {
				d.body = strings.Repeat("b", size)
				checkUploadAnswer(t, d, path, answer)
			})
		}
	}
}

// checkUploadAnswer sends a long request of which the server gives an answer before it has read the body.
func checkUploadAnswer(t *testing.T, d *relayDeployment, path string, answer http1test.UploadAnswer) {
	const fields = "X-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
	body := eventText(1) + eventText(2) + eventText(3)
	d.respondEarly = func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		answer.Write(connection, fields, body)
	}
	result, err := d.trySend(http.MethodPost, path)
	broken := err != nil || result.err != nil
	switch {
	case !answer.Refused:
		assert.NilError(t, errors.Join(err, result.err))
		assert.Equal(t, result.status, http.StatusOK)
		assert.Equal(t, result.body, body)
	case !broken:
		assert.Check(t, result.status >= http.StatusInternalServerError, "status %d, body %q", result.status, result.body)
		assert.Check(t, result.header.Get(platform.HeaderSignature) == "", "status %d", result.status)
	}
}

// gatewayUpload is the size of an upload in bytes that clients may send, and that no kernel takes whole.
const gatewayUpload = 4 << 20

// writeRaw writes bytes in place of a response, and closes the connection.
func writeRaw(t *testing.T, w http.ResponseWriter, answer string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	assert.Check(t, err)
	_, _ = connection.Write([]byte(answer)) // the caller may have left
	_ = connection.Close()
}

// standsStill are the sizes behind which an answer without an end stands still, by the path of its request.
var standsStill = map[string]int{"/once/x": maxResponseSize - 1<<20, "/stream/x": maxEventSize - 64<<10}

// TestEndlessAnswersCountAsMemory guards against what is read of an answer without an end, and is held and not
// counted: many faulty servers at once then take more than there is.
func TestEndlessAnswersCountAsMemory(t *testing.T) {
	const answers = 4
	least := map[string]int64{"body-after-long-head": http1.LongHeadMemory, "body": 0, "body-of-a-length": 0, "chunks": 0}
	for place, newDeployment := range places {
		for path, size := range standsStill {
			for _, answer := range http1test.EndlessAnswers {
				beside, held := least[answer.Name]
				if !held {
					continue // it ends at once
				}
				t.Run(place+path+"/"+answer.Name, func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					d.setSlots(answers)
					closeAll := d.respondEndless(answer, size)
					var requests sync.WaitGroup
					for range answers {
						requests.Go(func() { _, _ = d.trySend(http.MethodPost, path) }) // which breaks off
					}
					// What is beyond the small first part is held, in a buffer that has room for all that has come.
					err := awaitHeldAtLeast(d.peer, answers*(beside+int64(size)-freeResponse))
					closeAll()
					requests.Wait()
					assert.NilError(t, err)
					assert.NilError(t, awaitHeld(d.peer, 0))
				})
			}
		}
	}
}

// TestEndlessAnswersStayWithinTheMemory guards against answers without an end of many servers at once that hold
// more than there is, or for ever, and against a client that gets one as whole.
func TestEndlessAnswersStayWithinTheMemory(t *testing.T) {
	const (
		answers = 48
		memory  = 8 << 20 // bytes
	)
	for place, newDeployment := range places {
		for path, size := range standsStill {
			for _, answer := range http1test.EndlessAnswers {
				t.Run(place+path+"/"+answer.Name, func(t *testing.T) {
					t.Parallel()
					d := newDeployment(t)
					d.deadline = "1500"
					d.setSlots(answers)
					for _, g := range []*Gateway{d.origin, d.peer} {
						g.Clients.SetLimits(clientbudget.Limits{Memory: memory})
					}
					d.respondEndless(answer, size)
					var requests sync.WaitGroup
					for range answers {
						requests.Go(func() {
							result, err := d.trySend(http.MethodPost, path)
							assert.Check(t, err != nil || result.err != nil || result.status >= http.StatusInternalServerError, "status %d", result.status)
						})
					}
					requests.Wait()
					for _, g := range []*Gateway{d.origin, d.peer} {
						assert.NilError(t, awaitHeld(g, 0))
					}
				})
			}
		}
	}
}

// respondEndless lets the servers give an answer without an end, which stands still behind a size. The function
// that it returns ends all of them.
func (d *relayDeployment) respondEndless(answer http1test.Endless, size int) (closeAll func()) {
	const fields = platform.HeaderSignature + ": s\r\nContent-Type: text/event-stream\r\n"
	var mu sync.Mutex
	var connections []net.Conn
	d.respond = func(w http.ResponseWriter, _ *http.Request) bool {
		connection, _, err := http.NewResponseController(w).Hijack()
		assert.Check(d.t, err)
		mu.Lock()
		connections = append(connections, connection)
		mu.Unlock()
		_ = answer.Write(connection, fields, size) // until the caller has left
		_ = connection.Close()
		return true
	}
	return func() {
		mu.Lock()
		defer mu.Unlock()
		for _, connection := range connections {
			_ = connection.Close() // or its caller has left
		}
	}
}

// awaitHeldAtLeast waits until a gateway holds memory of a size in bytes for clients.
func awaitHeldAtLeast(g *Gateway, size int64) error {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(time.Millisecond) {
		if g.Clients.Stats().Held >= size {
			return nil
		}
	}
	return fmt.Errorf("%d bytes are held, want %d", g.Clients.Stats().Held, size)
}

// setSlots lets each server take a number of requests at once.
func (d *relayDeployment) setSlots(slots int) {
	var servers []deployment.Backend
	for _, server := range d.servers {
		server.Slots = slots
		servers = append(servers, server)
	}
	for _, g := range []*Gateway{d.origin, d.peer} {
		g.Fleet.Replace(time.Now(), servers)
	}
}

// TestLongErrorOfAStreamIsNotCut guards against an error response to a streaming request that is cut at the limit
// and looks whole.
func TestLongErrorOfAStreamIsNotCut(t *testing.T) {
	d, _ := newDirectDeployment(t)
	d.respond = func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set(platform.HeaderSignature, "s")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, maxResponseSize+1)) // the caller leaves at the limit
		return true
	}
	result, err := d.trySend(http.MethodPost, "/stream/x")
	assert.NilError(t, err)
	assert.Equal(t, result.status, http.StatusBadGateway)
	assert.Equal(t, result.header.Get(platform.HeaderSignature), "")
}

// TestSignatureOfTheConnection guards against a success without the signature, which its server has listed as a
// header of the connection.
func TestSignatureOfTheConnection(t *testing.T) {
	for place, newDeployment := range places {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(place+path, func(t *testing.T) {
				d := newDeployment(t)
				d.respond = func(w http.ResponseWriter, _ *http.Request) bool {
					writeRaw(t, w, "HTTP/1.1 200 OK\r\n"+platform.HeaderSignature+": s\r\nConnection: "+platform.HeaderSignature+
						"\r\nContent-Type: text/event-stream\r\n\r\n"+eventText(1))
					return true
				}
				assert.Equal(t, d.send(http.MethodPost, path).status, http.StatusBadGateway)
			})
		}
	}
}
