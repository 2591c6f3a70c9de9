package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/caller"
	"mulberryhead.org/mulberryhead/internal/engine"
	"mulberryhead.org/mulberryhead/internal/instancelist"
	"mulberryhead.org/mulberryhead/internal/logservice"
	"mulberryhead.org/mulberryhead/internal/logservice/claim"
	"mulberryhead.org/mulberryhead/internal/logservice/document"
	"mulberryhead.org/mulberryhead/internal/logservice/lease"
	"mulberryhead.org/mulberryhead/internal/operator"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/service"
)

// Daemon is one entry instance: its listeners, its clients of the platform, and
// its background loops.
type Daemon struct {
	settings    Settings
	incarnation uuid.UUID
	logger      *zap.Logger
	metrics     *metrics

	log          *logservice.Client
	instances    *instancelist.Client
	replica      *document.Replica
	batcher      *claim.Batcher
	claims       *claim.Executor
	localClaims  *claim.Executor
	elector      *lease.Elector
	catalog      *caller.Catalog
	pool         *engine.Pool
	runnerClient *engine.RunnerClient
	services     *service.Client
	mesh         *peer.Mesh
	callers      *caller.Server
	operators    *operator.Server

	shuttingDown atomic.Bool
	started      time.Time
	onListen     func(role, address string)

	mu         sync.Mutex
	view       *instancelist.View
	applied    map[document.Key]document.Version
	loadSharer *loadSharer
	demand     *demandTracker
}

// New returns a daemon that has not started. Run calls onListen with the role and
// the bound address of each listener.
func New(settings Settings, logger *zap.Logger, onListen func(role, address string)) *Daemon {
	d := &Daemon{
		settings: settings, started: time.Now(), onListen: onListen, incarnation: uuid.New(), metrics: newMetrics(),
		logger: logger.With(zap.String("instance", string(settings.Instance))),
		view:   instancelist.NewView(), applied: map[document.Key]document.Version{},
		loadSharer: newLoadSharer(), demand: newDemandTracker(),
	}
	d.metrics.reportViolations(d.logger)
	d.log = logservice.NewClient(settings.LogAddress, string(settings.Instance))
	d.instances = instancelist.NewClient(settings.InstanceListAddress, string(settings.Instance))
	d.catalog = caller.NewCatalog()
	d.pool = engine.NewPool(settings.Zone)
	d.runnerClient = engine.NewRunnerClient()
	d.services = service.NewClient(settings.Zone)
	d.replica = document.NewReplica(document.Config{
		Appender: d.log, CheckpointInterval: settings.CheckpointInterval,
		OnAccepted: d.apply, OnAdvanced: d.broadcastOffset, Logger: d.logger,
	})
	d.batcher = claim.NewBatcher(d.log, settings.AppendsPerSecond)
	d.claims = claim.NewExecutor(d.batcher, d.refreshClaims)
	d.localClaims = claim.NewLocalExecutor()
	d.elector = lease.NewElector(d.log, lease.Name("orders/"+string(settings.Zone)), d.incarnation)
	d.mesh = peer.NewMesh(peer.Config{
		Self:     peer.Hello{Instance: settings.Instance, Incarnation: d.incarnation, Zone: settings.Zone, Region: settings.Region},
		Receiver: d, Logger: d.logger,
	})
	d.pool.OnCrash(func(request engine.Fingerprint, incarnation string) {
		d.mesh.Broadcast(peer.CrashNotice{Fingerprint: request, Runner: incarnation})
	})
	d.callers = caller.NewServer(caller.Config{
		Instance: settings.Instance, Zone: settings.Zone, Incarnation: d.incarnation,
		Catalog: d.catalog, Pool: d.pool, Services: d.services, Claims: d.claims, LocalClaims: d.localClaims,
		Forwarder: d, Observer: d.metrics, Logger: d.logger,
		MaxConcurrentAnswers: settings.MaxConcurrentAnswers, MaxConcurrentRequests: settings.MaxConcurrentRequests,
		BodyTimeout: caller.DefaultBodyTimeout, WriteTimeout: caller.DefaultWriteTimeout,
	})
	d.operators = operator.NewServer(operator.Config{
		Replica: d.replica, TokenHash: settings.OperatorTokenHash, Status: d.status,
		Metrics: promhttp.HandlerFor(d.metrics.registry, promhttp.HandlerOpts{}), Logger: d.logger,
	})
	d.registerGauges()
	return d
}

// ListenError reports that a listener could not be opened on its address.
type ListenError struct {
	Role    string
	Address string
	Cause   error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for %s on %s: %v", e.Role, e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

type listener struct {
	role    string
	address string
	handler http.Handler
	server  *http.Server
}

// Run serves until ctx is canceled, then drains. It returns nil when every caller's or
// forwarded request in flight completed within the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	listeners := []*listener{
		{role: "callers", address: d.settings.CallersAddress, handler: d.callers.Handler()},
		{role: "operators", address: d.settings.OperatorsAddress, handler: d.operators.Handler()},
		{role: "peers", address: d.settings.PeersAddress, handler: d.mesh.Handler()},
	}
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		if err := l.start(failed); err != nil {
			return err
		}
		d.onListen(l.role, l.address)
	}
	// The loops outlive ctx: requests that are draining still need them.
	loops, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.startLoops(loops)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return d.drain(loops, listeners)
}

func (l *listener) start(failed chan<- error) error {
	socket, err := net.Listen("tcp", l.address)
	if err != nil {
		return &ListenError{Role: l.role, Address: l.address, Cause: err}
	}
	l.address = socket.Addr().String()
	l.server = &http.Server{
		Handler: l.handler, ReadHeaderTimeout: caller.ReadHeaderTimeout, MaxHeaderBytes: caller.ServerMaxHeaderBytes,
		IdleTimeout: time.Minute,
	}
	go func() {
		if err := l.server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve %s: %w", l.role, err)
		}
	}()
	return nil
}

func (d *Daemon) startLoops(ctx context.Context) {
	go logservice.Tail(ctx, d.log, document.Stream, d.replica)
	go logservice.Tail(ctx, d.log, claim.Stream, d.claims)
	go logservice.Tail(ctx, d.log, lease.Stream, d.elector)
	go d.replica.Run(ctx)
	go d.batcher.Run(ctx)
	go d.elector.Run(ctx)
	go d.mesh.Run(ctx)
	go d.callers.Run(ctx)
	go d.watchInstances(ctx)
	go d.watchRunners(ctx)
	go d.runRollouts(ctx)
	go d.broadcastLoads(ctx)
	go d.updateQuotas(ctx)
}

// shutdownDelay is how long an instance that is shutting down still accepts new
// requests, so that the load balancer can observe that it is not ready.
const shutdownDelay = 500 * time.Millisecond

// outcomeFlushTimeout bounds the wait for pending outcomes to reach the log.
const outcomeFlushTimeout = 5 * time.Second

// drain announces the shutdown to peers, stops accepting requests after
// shutdownDelay, waits for requests in flight and pending outcomes, and closes the
// listeners. It returns an error if the drain timeout cut off a caller's or a
// forwarded request; errors in closing the listeners for operators and peers are
// ignored.
func (d *Daemon) drain(ctx context.Context, listeners []*listener) error {
	d.logger.Info("leaving")
	d.shuttingDown.Store(true)
	d.mesh.Leave()
	time.Sleep(shutdownDelay)
	d.callers.StartDraining()
	ctx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	err := d.callers.Wait(ctx)
	d.flushOutcomes(ctx)
	for _, l := range listeners {
		if closeErr := l.server.Shutdown(ctx); err == nil && l.role == "callers" {
			err = closeErr
		}
	}
	if err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	d.logger.Info("left")
	return nil
}

// flushOutcomes waits until the outcomes of calls are on the log, at most
// outcomeFlushTimeout.
func (d *Daemon) flushOutcomes(ctx context.Context) {
	deadline := time.Now().Add(outcomeFlushTimeout)
	for d.batcher.Pending() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// initialReportTimeout is how long a new instance waits for the first report of a
// runner before it accepts requests without one.
const initialReportTimeout = 3 * time.Second

// ready reports whether the instance may receive new requests: it is not shutting
// down, has loaded the active documents from the log or a peer, and has a report
// of at least one runner. After initialReportTimeout it no longer needs a report,
// since the deployment may have no runners.
func (d *Daemon) ready(now time.Time) bool {
	if d.shuttingDown.Load() || !d.replica.Loaded() {
		return false
	}
	if now.Sub(d.started) >= initialReportTimeout {
		return true
	}
	reported := false
	d.pool.WithFleet(func(f *engine.Fleet) {
		for _, r := range f.Runners() {
			reported = reported || !r.ReportedAt().IsZero()
		}
	})
	return reported
}
