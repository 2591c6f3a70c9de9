package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/runner"
	"mulberryhead.org/mulberryhead/internal/service"
	"mulberryhead.org/mulberryhead/internal/standin"
	"mulberryhead.org/mulberryhead/internal/testarchive"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

const (
	testKey    = "tenant-key"
	testLayers = 4
)

// deployment is the server of one entry instance with a fake engine and a fake
// service, all in this process.
type deployment struct {
	server  *Server
	front   *httptest.Server
	engine  *httptest.Server
	service *standin.Service
	pool    *engine.Pool
}

type noObserver struct{}

func (noObserver) RequestFailed(environment.TeamName, environment.ClassName, Code)          {}
func (noObserver) FirstToken(environment.TeamName, environment.ClassName, time.Duration)    {}
func (noObserver) BetweenTokens(environment.TeamName, environment.ClassName, time.Duration) {}
func (noObserver) Answer(environment.TeamName, environment.ClassName, time.Duration)        {}
func (noObserver) ServiceCall(environment.TeamName, environment.ClassName, time.Duration)   {}
func (noObserver) Outcome(claim.CallOutcome)                                                {}

type noForwarder struct{}

func (noForwarder) Forward(context.Context, KeyIssuer, peer.ForwardRequest) (peer.ForwardResponse, bool) {
	return peer.ForwardResponse{}, false
}

const testDocument = `environment = "bench"
[[model]]
name = "guide"
version = "v1"
layers = 4
[[model]]
name = "members"
version = "v1"
layers = 4
[[service]]
name = "orders"
[[service.operation]]
method = "POST"
path = "/bookings"
[[service.operation]]
method = "GET"
path = "/bookings"
idempotent = true
[[service]]
name = "shares"
[[service.operation]]
method = "GET"
path = "/"
idempotent = true
[[class]]
name = "normal"
[[tenant]]
name = "apprentices"
key-sha256 = "%s"
class = "normal"
weight = 1
requests-per-second = 1000
concurrent = 100
models = ["guide"]
services = ["orders"]
`

func newDeployment(t testing.TB) *deployment {
	t.Helper()
	doc, err := environment.Parse("test", fmt.Appendf(nil, testDocument, environment.HashSecret(testKey)))
	assert.NilError(t, err)
	d := &deployment{service: standin.NewService(standin.ServiceConfig{}), pool: engine.NewPool("zone-a")}
	d.engine = httptest.NewServer(standin.NewEngine(standin.EngineConfig{
		ID: "e1", Model: "guide", Version: "v1", Layers: testLayers, Range: runner.LayerRange{End: testLayers},
		BatchCost: 2 * time.Millisecond,
	}).Handler())
	orders := httptest.NewServer(d.service.Handler())
	t.Cleanup(d.engine.CloseClientConnections)
	t.Cleanup(orders.Close)
	d.pool.WithFleet(func(f *engine.Fleet) {
		f.SetRunners([]instancelist.Instance{{ID: "e1", Zone: "zone-a", Address: d.engine.Listener.Addr().String()}})
	})
	report, err := engine.NewRunnerClient().FetchReport(t.Context(), "e1", d.engine.Listener.Addr().String())
	assert.NilError(t, err)
	d.pool.WithFleet(func(f *engine.Fleet) { f.RecordReport(time.Now(), "e1", report) })
	services := service.NewClient("zone-a")
	services.SetBackends([]instancelist.Instance{{ID: "s1", Zone: "zone-a", Address: orders.Listener.Addr().String(), Serves: "orders"}})
	catalog := NewCatalog()
	catalog.Set(environment.Production, doc)
	d.server = NewServer(Config{
		Instance: "entry", Zone: "zone-a", Incarnation: uuid.New(), Catalog: catalog, Pool: d.pool, Services: services,
		Claims: claim.NewLocalExecutor(), LocalClaims: claim.NewLocalExecutor(), Forwarder: noForwarder{}, Observer: noObserver{},
		Logger: zap.NewNop(), MaxConcurrentAnswers: 8, MaxConcurrentRequests: 16,
		BodyTimeout: 200 * time.Millisecond, WriteTimeout: 200 * time.Millisecond,
	})
	d.front = httptest.NewUnstartedServer(d.server.Handler())
	d.front.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		// With small buffers, writes to a client that does not read block soon.
		assert.NilError(t, conn.(*net.TCPConn).SetWriteBuffer(4096))
		return ctx
	}
	d.front.Start()
	t.Cleanup(d.front.Close)
	return d
}

func (d *deployment) engineStatus(t testing.TB) standin.EngineStatus {
	t.Helper()
	response, err := http.Get(d.engine.URL + "/v1/status")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var status standin.EngineStatus
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&status))
	return status
}

// TestRequests sends the requests of testdata/requests. Each archive holds pairs of a
// request and the lines that its response must contain. {key} stands for the team's
// API key, {fresh} for a new UUIDv7 that is the same within one archive, {old} and
// {future} for UUIDv7s with times in 2023 and 6429, {long} for a body and {header}
// for a header value over the limit.
func TestRequests(t *testing.T) {
	testarchive.Each(t, "testdata/requests/*.txtar", func(t *testing.T, files [][]byte) {
		d := newDeployment(t)
		replacer := strings.NewReplacer(
			"{key}", testKey, "{fresh}", uuid.Must(uuid.NewV7()).String(),
			"{old}", "01863b2c-0000-7000-8000-000000000000", "{future}", "7fffffff-0000-7000-8000-000000000000",
			"{long}", strings.Repeat("x", MaxBodyBytes+1), "{header}", strings.Repeat("x", MaxHeaderBytes+1),
		)
		for i := 0; i+1 < len(files); i += 2 {
			response := d.send(t, replacer.Replace(string(files[i])))
			for _, want := range strings.Split(strings.TrimSpace(string(files[i+1])), "\n") {
				assert.Assert(t, strings.Contains(response, want), "no %q in\n%s", want, response)
			}
		}
		assert.Equal(t, d.engineStatus(t).Queued, 0)
	})
}

// send sends a request written as a line with method and path, header lines, an
// empty line and a body, and returns the complete response as text.
func (d *deployment) send(t *testing.T, requestText string) string {
	t.Helper()
	head, body, _ := strings.Cut(requestText, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	request, err := http.NewRequestWithContext(t.Context(), method, d.front.URL+path, strings.NewReader(strings.TrimSpace(body)))
	assert.NilError(t, err)
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var responseText bytes.Buffer
	fmt.Fprintln(&responseText, response.Status)
	assert.NilError(t, response.Header.Write(&responseText))
	_, err = io.Copy(&responseText, response.Body)
	assert.NilError(t, err)
	return responseText.String()
}

// TestClientDisconnect checks that a client that disconnects during a stream frees
// the engine's session and the concurrency slot.
func TestClientDisconnect(t *testing.T) {
	d := newDeployment(t)
	ctx, cancel := context.WithCancel(t.Context())
	body := `{"model":"guide","messages":[{"role":"user","content":"a long story"}],"max_tokens":4000,"stream":true}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.front.URL+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	line, err := bufio.NewReader(response.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(line, "data: "), line)
	assert.Equal(t, d.engineStatus(t).Sessions, 1)
	cancel()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		status := d.engineStatus(t)
		d.server.mu.Lock()
		defer d.server.mu.Unlock()
		if status.Sessions == 0 && status.Queued == 0 && d.server.admission.Running() == 0 {
			return poll.Success()
		}
		return poll.Continue("sessions %d, running %d", status.Sessions, d.server.admission.Running())
	})
}

// TestDrainingCompletesRunningRequests checks that a draining server rejects new
// requests and completes a stream that started before.
func TestDrainingCompletesRunningRequests(t *testing.T) {
	d := newDeployment(t)
	body := `{"model":"guide","messages":[{"role":"user","content":"a story"}],"max_tokens":100,"stream":true}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, d.front.URL+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	d.server.StartDraining()
	rejected := d.send(t, "GET /v1/models\nAuthorization: Bearer "+testKey)
	assert.Assert(t, strings.Contains(rejected, string(CodeDraining)), rejected)
	stream, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(stream), "data: [DONE]\n\n"))
	assert.NilError(t, d.server.Wait(t.Context()))
}

// TestIncompleteBody checks that a request whose body stops half-way ends with a
// problem after BodyTimeout, and that the service is not called.
func TestIncompleteBody(t *testing.T) {
	d := newDeployment(t)
	conn, err := net.Dial("tcp", d.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /services/orders/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"+
		"Idempotency-Key: %s\r\nContent-Length: 100\r\n\r\n{\"half\":", testKey, uuid.Must(uuid.NewV7()))
	assert.NilError(t, err)
	response, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(response), string(CodeMalformed)), "%s", response)
	assert.Equal(t, len(d.service.Ledger()), 0)
}

// TestClientNotReading checks that a stream whose client does not read is aborted
// after WriteTimeout, which also ends the engine's session.
func TestClientNotReading(t *testing.T) {
	d := newDeployment(t)
	conn, err := net.Dial("tcp", d.front.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(1024))
	body := `{"model":"guide","messages":[{"role":"user","content":"a story without end"}],"max_tokens":4096,"stream":true}`
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body)
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		d.server.mu.Lock()
		running := d.server.admission.Running()
		d.server.mu.Unlock()
		status := d.engineStatus(t)
		if running == 0 && status.Steps > 0 && status.Sessions == 0 {
			return poll.Success()
		}
		return poll.Continue("%d completions run", running)
	}, poll.WithTimeout(time.Minute))
	assert.Assert(t, d.engineStatus(t).Steps < 4096, "the completion ran to its end although the client did not read")
}
