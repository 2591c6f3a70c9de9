//go:build process

// Package clientcrowd starts a router as a process of its own on loopback, with lowered limits, and sends
// it crowds of clients that misbehave. The process must stay within its limits and serve ordinary clients.
//
// Usage: make process
package clientcrowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/http1/http1test"
	"mulberryhead.org/mulberryhead/internal/testarchive"
	"mulberryhead.org/mulberryhead/platform"
	"mulberryhead.org/mulberryhead/platform/platformtest"
)

const (
	// memoryMB and maxDescriptors are the limits of the process, in the ratio of the platform's 284 MB to
	// 4,200 descriptors. maxBody is the limit on a body, that of the platformtest configuration.
	memoryMB       = 64
	maxDescriptors = 946
	maxBody        = 1 << 20
	// ordinaryBody is the size of an ordinary body, and ordinaryTries how often an ordinary client tries.
	ordinaryBody  = 8000
	ordinaryTries = 20
	// maxRounds is how often a client of a crowd comes back after its connection has ended, and roundPause
	// the pause before that. patience bounds a connection, and the wait for a process to be ready.
	maxRounds  = 100
	roundPause = 200 * time.Millisecond
	patience   = 60 * time.Second
	pollEvery  = 20 * time.Millisecond
)

// TestClientCrowds runs each script of testdata against a process of its own. The commands:
//
//	crowd 400 KIND ARGUMENTS  connects clients, and waits until each has sent all that it sends or its
//	                          connection has ended. They stay, and come back when their connections end.
//	                          The kinds stand with payload.
//	crowd-in-turn 400 KIND ARGUMENTS
//	                          the same, but each client begins when the one before has sent all: so they
//	                          take all that there is for them
//	crowd-unread 40 KIND ARGUMENTS
//	                          the same as crowd, but none reads what it is sent
//	returns 2000              waits until the clients have connected so many times in all
//	ordinary                  sends a request without a body and one with ordinaryBody, as an ordinary
//	                          client: each must be answered after at most ordinaryTries tries
//	models                    adds servers of a model, and waits until they hold all layers
//	faulty NAME SIZE          lets the servers give the answer without an end of http1test that has the name,
//	                          which stands still behind SIZE bytes; sound ends it
//	stay 2                    waits for seconds
//	leave                     ends the crowd
//	largest                   sends one body of maxBody, which must be answered as well
//
// At the end the process must live, and its peak memory and descriptors be within its limits.
func TestClientCrowds(t *testing.T) {
	testarchive.Each(t, "testdata/*.txtar", func(t *testing.T, files [][]byte) {
		p := startProcess(t)
		var c *crowd
		for line := range strings.Lines(string(files[0])) {
			fields := strings.Fields(line)
			switch fields[0] {
			case "crowd", "crowd-in-turn", "crowd-unread":
				c = &crowd{address: p.front, payload: payload(t, fields[2], fields[3:]), unread: fields[0] == "crowd-unread", ended: make(chan struct{}), open: map[net.Conn]bool{}}
				c.start(t, number(t, fields[1]), fields[0] == "crowd-in-turn")
				defer c.leave()
			case "returns":
				c.awaitReturns(number(t, fields[1]))
			case "ordinary":
				p.checkAnswered(http.MethodGet, 0)
				p.checkAnswered(http.MethodPost, ordinaryBody)
			case "models":
				p.addModels()
			case "faulty":
				p.answerRaw(endless(t, fields[1], number(t, fields[2])))
			case "stay":
				time.Sleep(time.Duration(number(t, fields[1])) * time.Second)
			case "sound":
				p.answerRaw(nil)
			case "leave":
				c.leave()
			case "largest":
				p.checkAnswered(http.MethodPost, maxBody)
			default:
				t.Fatalf("unknown command %q", line)
			}
		}
		p.checkLimits()
	})
}

// endless returns an answer without an end.
func endless(t *testing.T, name string, size int) func(net.Conn) error {
	for _, answer := range http1test.EndlessAnswers {
		if answer.Name == name {
			return func(connection net.Conn) error {
				return answer.Write(connection, platform.HeaderSignature+": s\r\nContent-Type: text/event-stream\r\n", size)
			}
		}
	}
	t.Fatalf("unknown answer %q", name)
	return nil
}

// TestMixedCrowds sends crowds of all kinds in series that overlap, while the settings are read again, and checks
// that an ordinary client is answered beside each. MULBERRYHEAD_SOAK_STEPS and MULBERRYHEAD_SOAK_SEED lengthen and
// replay it.
func TestMixedCrowds(t *testing.T) {
	seed, steps := fromEnvironment(t, "MULBERRYHEAD_SOAK_SEED", 1), fromEnvironment(t, "MULBERRYHEAD_SOAK_STEPS", 6)
	random := rand.New(rand.NewPCG(uint64(seed), 0))
	p := startProcess(t)
	var staying []*crowd
	leave := func() {
		staying[0].leave()
		staying = staying[1:]
	}
	for range steps {
		kind := mixedKinds[random.IntN(len(mixedKinds))]
		c := &crowd{address: p.front, payload: payload(t, kind[0], kind[1:]), unread: kind[0] == "answer", ended: make(chan struct{}), open: map[net.Conn]bool{}}
		t.Logf("seed %d: crowd %v", seed, kind)
		c.start(t, 20+random.IntN(180), false)
		staying = append(staying, c)
		if random.IntN(2) == 0 {
			assert.NilError(t, p.command.Process.Signal(syscall.SIGHUP))
		}
		p.checkAnswered(http.MethodPost, ordinaryBody)
		if random.IntN(3) == 0 {
			leave()
		}
	}
	for len(staying) > 0 {
		leave()
	}
	p.checkAnswered(http.MethodPost, maxBody)
	p.checkLimits()
}

// mixedKinds are kinds of crowds with their arguments, as in testdata.
var mixedKinds = [][]string{
	{"head-line", "1000000"}, {"head-lines", "1000000"}, {"endless-line", "1000000"}, {"endless-lines", "1000000"},
	{"endless-short-lines", "1000000"}, {"empty-lines", "1000000"}, {"empty-lines-after", "4"}, {"body", "1048576", "1048576"},
	{"body", "1048576", "4096"}, {"body", "60000", "60000"}, {"chunks", "600000", "65536"}, {"chunks", "120000", "1"}, {"answer", "7000000"},
}

func fromEnvironment(t *testing.T, name string, fallback int) int {
	if text := os.Getenv(name); text != "" {
		return number(t, text)
	}
	return fallback
}

func number(t *testing.T, text string) int {
	value, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return value
}

// payload returns what each client of a crowd sends, in pieces.
func payload(t *testing.T, kind string, arguments []string) [][]byte {
	size := number(t, arguments[0])
	const request = "POST /any/x HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n"
	allowed := platform.HeaderRequestID + ": crowd\r\n" + platform.HeaderAPIKey + ": " + platformtest.APIKey + "\r\n" +
		platform.HeaderDeadline + ": 600000\r\n"
	short := strings.Repeat("b", size-1)
	switch kind {
	case "head-line": // one line of SIZE
		return pieces(request+"X-Long: "+strings.Repeat("l", size)+"\r\n\r\n", size)
	case "head-lines": // lines of 1 KB, SIZE in all
		return pieces(request+strings.Repeat("X-Line: "+strings.Repeat("l", 1000)+"\r\n", size/1010)+"\r\n", size)
	case "endless-line":
		return pieces(request+"X-Long: "+strings.Repeat("l", size), 16<<10)
	case "endless-lines": // each with another name
		return pieces(request+lines(size, "X-%d: l\r\n"), 16<<10)
	case "endless-short-lines": // with few names
		return pieces(request+strings.Repeat("a:\r\n", size/4), 16<<10)
	case "empty-lines": // before a request
		return pieces(strings.Repeat("\r\n", size/2), 16<<10)
	case "empty-lines-after": // after a request, as many as net/http takes before the next one
		return pieces(request+allowed+"Content-Length: 2\r\n\r\nok"+strings.Repeat("\r\n", size/2), 16<<10)
	case "answer": // a request with an answer of SIZE, which crowd-unread does not read
		return pieces(strings.Replace(request, "POST /any/x", "GET /any/x?answer="+arguments[0], 1)+allowed+"\r\n", 16<<10)
	case "stream": // a request for a stream, SIZE is of no matter
		return pieces(strings.Replace(request, "/any/x", "/stream/x", 1)+allowed+"Content-Length: 2\r\n\r\nok", 16<<10)
	case "upload": // a whole request of SIZE to PATH, on a connection of its own
		head := strings.Replace(request, "/any/x", arguments[1], 1) + allowed + "Connection: close\r\n"
		return append([][]byte{[]byte(head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size))}, pieces(short+"b", 64<<10)...)
	case "body": // of a known length, PIECE bytes at a time, short of its end
		return append([][]byte{[]byte(request + allowed + fmt.Sprintf("Content-Length: %d\r\n\r\n", size))}, pieces(short, number(t, arguments[1]))...)
	case "chunks": // of CHUNK bytes, short of the end
		chunk := number(t, arguments[1])
		var body bytes.Buffer
		for rest := size - 1; rest > 0; rest -= chunk {
			length := min(rest, chunk)
			_, _ = fmt.Fprintf(&body, "%x\r\n%s\r\n", length, short[:length])
		}
		return append([][]byte{[]byte(request + allowed + "Transfer-Encoding: chunked\r\n\r\n")}, pieces(body.String(), 64<<10)...)
	}
	t.Fatalf("unknown kind %q", kind)
	return nil
}

// lines returns numbered lines of a size in all.
func lines(size int, format string) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		_, _ = fmt.Fprintf(&b, format, i)
	}
	return b.String()
}

func pieces(text string, size int) [][]byte {
	var list [][]byte
	for ; len(text) > size; text = text[size:] {
		list = append(list, []byte(text[:size]))
	}
	return append(list, []byte(text))
}

// crowd is clients that all send the same.
type crowd struct {
	address string
	payload [][]byte
	unread  bool
	ended   chan struct{} // closed by leave
	clients sync.WaitGroup
	rounds  atomic.Int64
	left    atomic.Bool
	mu      sync.Mutex
	open    map[net.Conn]bool
}

func (c *crowd) start(t *testing.T, count int, inTurn bool) {
	var all sync.WaitGroup
	for range count {
		sent := make(chan struct{}) // the first round of the client
		c.clients.Go(func() { c.client(sync.OnceFunc(func() { close(sent) })) })
		if inTurn {
			<-sent
		}
		all.Go(func() { <-sent })
	}
	all.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	t.Logf("%d of %d connections are open once all is sent", len(c.open), count)
}

func (c *crowd) awaitReturns(rounds int) {
	for began := time.Now(); time.Since(began) < patience && c.rounds.Load() < int64(rounds); {
		time.Sleep(pollEvery)
	}
}

func (c *crowd) client(sent func()) {
	for round := 0; round < maxRounds && !c.left.Load(); round++ {
		c.round(sent)
		sent()
		time.Sleep(roundPause)
	}
}

// round sends the payload on a connection and keeps that open until the router closes it or the crowd
// leaves. Its errors are expected: the router may close it at any time.
func (c *crowd) round(sent func()) {
	connection, err := net.DialTimeout("tcp4", c.address, patience)
	if err != nil {
		return
	}
	defer func() { _ = connection.Close() }()
	c.rounds.Add(1)
	if !c.opened(connection) {
		return
	}
	defer c.closed(connection)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if c.unread {
			<-c.ended
		}
		_, _ = io.Copy(io.Discard, connection)
		_ = connection.Close()
	}()
	for _, piece := range c.payload {
		if _, err := connection.Write(piece); err != nil {
			return
		}
	}
	sent()
	<-ended
}

func (c *crowd) opened(connection net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[connection] = true
	return !c.left.Load()
}

func (c *crowd) closed(connection net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, connection)
}

func (c *crowd) leave() {
	if c.left.Swap(true) {
		return
	}
	close(c.ended)
	c.mu.Lock()
	for connection := range c.open {
		_ = connection.Close()
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// process is a router that runs as a process of its own, beside a store and servers in this one.
type process struct {
	t       *testing.T
	front   string
	cluster *platformtest.Cluster
	command *exec.Cmd
	exited  chan struct{}
	output  bytes.Buffer // of errors, read after exited

	descriptors atomic.Int64 // the most that were seen open
}

func startProcess(t *testing.T) *process {
	binaries := os.Getenv("MULBERRYHEAD_BINARIES")
	assert.Assert(t, binaries != "", "set MULBERRYHEAD_BINARIES, or run make process")
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.ConfigurationTopic, platform.ConfigurationKey, platformtest.ConfigurationJSON(1, true))
	cluster := platformtest.NewCluster(store)
	t.Cleanup(cluster.Close)
	cluster.AddPlainServer("zone-a")
	var addresses []string
	for range 4 {
		addresses = append(addresses, freeAddress(t))
	}
	_, metricsPort, _ := strings.Cut(addresses[3], ":")
	settings := platformtest.FormatSettings(deployment.Settings{
		Instance: "front", Zone: "zone-a", IP: "127.0.0.1", FrontAddress: deployment.Address(addresses[0]), ReadyAddress: deployment.Address(addresses[1]),
		PeerAddress: deployment.Address(addresses[2]), StoreAddress: store.Address(), MemoryLimit: memoryMB << 20,
		ShutdownGrace: time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryReserve: 10,
	})
	path := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(settings, "limits.max-fds=%d\n", maxDescriptors), 0o600))
	p := &process{t: t, front: addresses[0], cluster: cluster, exited: make(chan struct{})}
	p.command = exec.Command(filepath.Join(binaries, "mulberryhead"), "route", "--metrics-port", metricsPort)
	p.command.Env = append(os.Environ(), "MULBERRYHEAD_SETTINGS="+path)
	p.command.Stderr = &p.output
	assert.NilError(t, p.command.Start())
	go func() {
		_ = p.command.Wait() // checkLimits reports an end
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
	})
	p.awaitReady("http://" + addresses[1] + platform.ReadinessPath)
	go p.watchDescriptors()
	return p
}

// addModels adds servers that hold the model together, and waits until they do.
func (p *process) addModels() {
	for range 3 { // two lack a few layers
		p.cluster.AddModelServer("zone-a", "h100")
	}
	held := 0
	for began := time.Now(); time.Since(began) < patience; time.Sleep(pollEvery) {
		held = 0
		for _, server := range p.cluster.Servers() {
			held += server.Layers().Len()
		}
		if held >= platformtest.Layers {
			return
		}
	}
	p.t.Fatalf("%d layers are held", held)
}

// answerRaw lets all servers answer so.
func (p *process) answerRaw(answer func(net.Conn) error) {
	for _, server := range p.cluster.Servers() {
		server.AnswerRaw(answer)
	}
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	return listener.Addr().String()
}

func (p *process) awaitReady(url string) {
	for began := time.Now(); time.Since(began) < patience; time.Sleep(pollEvery) {
		response, err := http.Get(url)
		if err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatal("the process did not get ready")
}

// watchDescriptors records how many descriptors are open, until the process exits.
func (p *process) watchDescriptors() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(pollEvery):
			open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
			if err == nil {
				p.descriptors.Store(max(p.descriptors.Load(), int64(len(open))))
			}
		}
	}
}

// checkAnswered sends one request as an ordinary client: a rejected one is sent again.
func (p *process) checkAnswered(method string, size int) {
	p.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	body := strings.Repeat("o", size)
	var last error
	for range ordinaryTries {
		request, err := http.NewRequest(method, "http://"+p.front+"/any/x", strings.NewReader(body))
		assert.NilError(p.t, err)
		request.Host = platformtest.Host
		request.Header.Set(platform.HeaderRequestID, uuid.NewString())
		request.Header.Set(platform.HeaderAPIKey, platformtest.APIKey)
		if last = answered(&client, request, "done:"+body); last == nil {
			return
		}
		time.Sleep(time.Second)
	}
	p.t.Errorf("an ordinary %s with a body of %d bytes was not answered in %d tries: %v", method, size, ordinaryTries, last)
}

// answered returns an error unless a request gets a response.
func answered(client *http.Client, request *http.Request, want string) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err = firstError(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || string(body) != want {
		return fmt.Errorf("status %d, %.40q", response.StatusCode, body)
	}
	return nil
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (p *process) checkLimits() {
	select {
	case <-p.exited:
		p.t.Fatalf("the process has ended: %s", p.output.String())
	default:
	}
	peak := p.peakMemory()
	p.t.Logf("at most %d KiB and %d descriptors", peak>>10, p.descriptors.Load())
	assert.Check(p.t, peak <= memoryMB<<20, "the process has taken %d KiB, its limit is %d MiB", peak>>10, memoryMB)
	assert.Check(p.t, p.descriptors.Load() <= maxDescriptors, "%d descriptors were open, the limit is %d", p.descriptors.Load(), maxDescriptors)
}

// peakMemory returns the most bytes that the process has had resident.
func (p *process) peakMemory() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	assert.NilError(p.t, err)
	for scanner := bufio.NewScanner(bytes.NewReader(status)); scanner.Scan(); {
		if fields := strings.Fields(scanner.Text()); len(fields) == 3 && fields[0] == "VmHWM:" {
			return int64(number(p.t, fields[1])) << 10
		}
	}
	p.t.Fatal("the kernel tells no peak")
	return 0
}
