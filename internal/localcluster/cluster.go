package localcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"mulberryhead.org/mulberryhead/internal/operator"
	"mulberryhead.org/mulberryhead/internal/standin"
	"mulberryhead.org/mulberryhead/pkg/environment"
)

// Names, sizes and secrets of the deployment that Start creates.
const (
	Model         = "joint-guide"
	ModelVersion  = "v1"
	Layers        = 12
	ServiceName   = "orders"
	Environment   = "bench"
	APIKey        = "demo-tenant-key"
	OperatorToken = "demo-operator-token"

	pollInterval = 20 * time.Millisecond
	waitTimeout  = 60 * time.Second
)

// Engine configures one model engine, which runs the layers First up to but
// excluding End.
type Engine struct {
	ID         string
	Zone       string
	First, End int
	BatchCost  time.Duration
	// RefuseOldFence makes the engine reject orders with an old fencing token.
	RefuseOldFence bool
}

// Member configures an entry instance or a plain service.
type Member struct {
	ID   string
	Zone string
}

// Config configures a deployment.
type Config struct {
	// Binaries is the directory of the compiled programs.
	Binaries string
	// Scratch is a directory for the settings files of entry instances.
	Scratch  string
	Engines  []Engine
	Services []Member
	Entries  []Member
	LogLevel string
}

// TwoZones returns the configuration of the demo: two availability zones, each
// with engines for all layers. Engines differ in their batch cost and in whether
// they check fencing tokens.
func TwoZones(binaries, scratch string) Config {
	const fast, slow = 500 * time.Microsecond, 2 * time.Millisecond
	return Config{
		Binaries: binaries, Scratch: scratch, LogLevel: "info",
		Engines: []Engine{
			{ID: "engine-a1", Zone: "zone-a", First: 0, End: 6, BatchCost: fast, RefuseOldFence: true},
			{ID: "engine-a2", Zone: "zone-a", First: 6, End: 12, BatchCost: slow},
			{ID: "engine-a3", Zone: "zone-a", First: 6, End: 12, BatchCost: fast, RefuseOldFence: true},
			{ID: "engine-b1", Zone: "zone-b", First: 0, End: 4, BatchCost: slow},
			{ID: "engine-b2", Zone: "zone-b", First: 4, End: 12, BatchCost: fast, RefuseOldFence: true},
			{ID: "engine-b3", Zone: "zone-b", First: 0, End: 4, BatchCost: fast},
		},
		Services: []Member{{ID: "service-a", Zone: "zone-a"}, {ID: "service-b", Zone: "zone-b"}},
		Entries:  []Member{{ID: "entry-a1", Zone: "zone-a"}, {ID: "entry-a2", Zone: "zone-a"}, {ID: "entry-b1", Zone: "zone-b"}},
	}
}

// Entry is a started entry instance with the addresses of its listeners for
// callers, operators and peers.
type Entry struct {
	*Process
	Member
	Callers   string
	Operators string
	Peers     string
}

// Cluster is a running deployment. Platform is the address of the fake platform;
// Engines and Services are keyed by id. Restarted entry instances are appended to
// Entries.
type Cluster struct {
	config          Config
	client          *http.Client
	Platform        string
	processes       []*Process
	Engines         map[string]*Process
	Services        map[string]*Process
	Entries         []*Entry
	platformProcess *Process
}

// Start starts a deployment and waits until every entry instance is ready. On
// failure it stops the processes that it started.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	c := &Cluster{
		config: config, client: &http.Client{Timeout: startTimeout},
		Engines: map[string]*Process{}, Services: map[string]*Process{},
	}
	if err := c.startAll(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	for _, e := range c.config.Engines {
		if err := c.StartEngine(ctx, e); err != nil {
			return err
		}
	}
	for _, s := range c.config.Services {
		if err := c.startService(ctx, s); err != nil {
			return err
		}
	}
	for _, m := range c.config.Entries {
		if _, err := c.StartEntry(ctx, m); err != nil {
			return err
		}
	}
	for _, e := range c.Entries {
		if err := c.WaitReady(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// startProcess starts a program and waits for the listen address of a role.
func (c *Cluster) startProcess(ctx context.Context, name, role, program string, arguments ...string) (*Process, string, error) {
	p, err := startCommand(name, filepath.Join(c.config.Binaries, program), arguments...)
	if err != nil {
		return nil, "", err
	}
	c.processes = append(c.processes, p)
	address, err := p.Address(ctx, role)
	return p, address, err
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	p, address, err := c.startProcess(ctx, "platform", "on", "mulberryhead-standin", "platform", "--listen", "127.0.0.1:0")
	c.platformProcess, c.Platform = p, address
	return err
}

// StartEngine starts a model engine and adds it to the platform's instance list.
func (c *Cluster) StartEngine(ctx context.Context, e Engine) error {
	arguments := []string{
		"engine", "--listen", "127.0.0.1:0", "--id", e.ID, "--model", Model, "--model-version", ModelVersion,
		"--layers", fmt.Sprint(Layers), "--first", fmt.Sprint(e.First), "--end", fmt.Sprint(e.End),
		"--batch-cost", e.BatchCost.String(), "--platform", c.Platform,
	}
	if e.RefuseOldFence {
		arguments = append(arguments, "--refuse-old-fence")
	}
	p, address, err := c.startProcess(ctx, e.ID, "on", "mulberryhead-standin", arguments...)
	if err != nil {
		return err
	}
	c.Engines[e.ID] = p
	return c.Register(ctx, standin.Instance{ID: e.ID, Kind: "engine", Zone: e.Zone, Region: "region-1", Address: address, Serves: Model})
}

func (c *Cluster) startService(ctx context.Context, m Member) error {
	p, address, err := c.startProcess(ctx, m.ID, "on", "mulberryhead-standin", "service", "--listen", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.Services[m.ID] = p
	return c.Register(ctx, standin.Instance{ID: m.ID, Kind: "service", Zone: m.Zone, Region: "region-1", Address: address, Serves: ServiceName})
}

// StartEntry starts an entry instance and adds it to the platform's instance list.
// It does not wait until the instance is ready.
func (c *Cluster) StartEntry(ctx context.Context, m Member) (*Entry, error) {
	file := filepath.Join(c.config.Scratch, m.ID+".toml")
	if err := os.WriteFile(file, []byte(c.settings(m)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	p, callers, err := c.startProcess(ctx, m.ID, "callers", "mulberryhead", "run", "--settings", file)
	if err != nil {
		return nil, err
	}
	e := &Entry{Process: p, Member: m, Callers: callers}
	if e.Operators, err = p.Address(ctx, "operators"); err != nil {
		return nil, err
	}
	if e.Peers, err = p.Address(ctx, "peers"); err != nil {
		return nil, err
	}
	c.Entries = append(c.Entries, e)
	return e, c.Register(ctx, standin.Instance{ID: m.ID, Kind: "entry", Zone: m.Zone, Region: "region-1", Address: e.Peers})
}

func (c *Cluster) settings(m Member) string {
	return fmt.Sprintf(`[instance]
id = %q
availability-zone = %q
region = "region-1"

[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"

[platform]
log-service = %q
instance-list = %q

[operators]
token-sha256 = %q

[log]
level = %q
`, m.ID, m.Zone, c.Platform, c.Platform, environment.HashSecret(OperatorToken), c.config.LogLevel)
}

// Register adds an instance to the platform's instance list or replaces its entry.
func (c *Cluster) Register(ctx context.Context, i standin.Instance) error {
	return c.send(ctx, http.MethodPut, "http://"+c.Platform+"/instances/"+i.ID, i, nil)
}

// Deregister removes an instance from the platform's instance list.
func (c *Cluster) Deregister(ctx context.Context, id string) error {
	return c.send(ctx, http.MethodDelete, "http://"+c.Platform+"/instances/"+id, nil, nil)
}

// SetFaults sets fault switches of the fake at an address, see package standin.
func (c *Cluster) SetFaults(ctx context.Context, address string, switches map[string]any) error {
	return c.send(ctx, http.MethodPost, "http://"+address+"/faults", switches, nil)
}

// Ledger returns the calls that all plain services executed.
func (c *Cluster) Ledger(ctx context.Context) ([]standin.LedgerEntry, error) {
	var all []standin.LedgerEntry
	for _, p := range c.Services {
		address, err := p.Address(ctx, "on")
		if err != nil {
			return nil, err
		}
		var entries []standin.LedgerEntry
		if err := c.send(ctx, http.MethodGet, "http://"+address+"/ledger", nil, &entries); err != nil {
			return nil, err
		}
		all = append(all, entries...)
	}
	return all, nil
}

func (c *Cluster) send(ctx context.Context, method, url string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return fmt.Errorf("send request to stand-in: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// Admin returns a client for the administration API of the instance.
func (e *Entry) Admin() *operator.Client {
	return operator.NewClient(e.Operators, OperatorToken)
}

// WaitReady waits until the status of an entry instance reports ready. It returns
// a TimeoutError like Wait.
func (c *Cluster) WaitReady(ctx context.Context, e *Entry) error {
	return Wait(ctx, e.Name+" is ready", func() bool {
		status, err := e.Admin().Status(ctx)
		return err == nil && status.Ready
	})
}

// TimeoutError is returned by Wait if the condition What did not hold in time.
type TimeoutError struct {
	What string
}

func (e *TimeoutError) Error() string {
	return "waited in vain: " + e.What
}

// Wait polls until a condition holds. It returns a TimeoutError after 60 s or
// when ctx ends.
func Wait(ctx context.Context, what string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return &TimeoutError{What: what}
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// Stop stops all processes in the reverse order of their start.
func (c *Cluster) Stop() error {
	var failures []error
	for i := len(c.processes) - 1; i >= 0; i-- {
		if err := c.processes[i].Stop(); err != nil {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

// Document returns the TOML document of the deployment's environment, which
// configures its model with the given version, its service and one team.
func Document(version string) []byte {
	return fmt.Appendf(nil, `environment = %q

[[model]]
name = %q
version = %q
layers = %d

[[service]]
name = %q
timeout = "3s"

[[service.operation]]
method = "POST"
path = "/bookings"
idempotent = false

[[service.operation]]
method = "GET"
path = "/bookings"
idempotent = true

[[class]]
name = "bench"
priority = 10
first-token = "730ms"

[[tenant]]
name = "apprentices"
key-sha256 = %q
class = "bench"
weight = 1
requests-per-second = 10000
concurrent = 2000
models = [%q]
services = [%q]
`, Environment, Model, version, Layers, ServiceName, environment.HashSecret(APIKey), Model, ServiceName)
}
