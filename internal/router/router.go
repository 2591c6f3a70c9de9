// Package router runs one instance on the users' platform: it reads the settings,
// follows the configuration and the list of backend servers, serves callers and
// gives orders.
//
// Usage:
//
//	err := router.Run(ctx, router.Options{SettingsPath: platform.SettingsPath(), MetricsPort: 9464, Output: os.Stdout})
//
// Run returns once ctx has ended and the requests under way have been answered,
// or the settings' grace is nearly over.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/gateway"
	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logging"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/placementcontroller"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// memoryShare is the part of the memory limit that the Go heap may take.
	memoryShare = 0.7
	// outOfRotation is how long the platform may send new connections after the
	// instance has said that it is not ready.
	outOfRotation = 3 * time.Second
	// exitMargin is left of the grace for the exit itself.
	exitMargin = 400 * time.Millisecond
	// headerTimeout and maxHeader bound a client's header where no configuration
	// is in force yet, or it sets no limit.
	headerTimeout = 30 * time.Second
	maxHeader     = 1 << 20 // bytes
	readyTimeout  = time.Second
)

// Options are what the command line gives.
type Options struct {
	SettingsPath string
	MetricsPort  int
	Output       io.Writer
}

// Router is one instance.
type Router struct {
	settings deployment.Settings
	options  Options
	sink     *logging.Sink
	logger   *zap.Logger
	registry *prometheus.Registry

	store    *platform.StoreClient
	backends *platform.BackendClient
	current  routing.ActiveTable
	fleet    *backend.Fleet
	gateway  *gateway.Gateway
	orderer  *placementcontroller.Controller
	idle     *idleConnections
	mesh     *peer.Mesh
	leaving  atomic.Bool
	grace    atomic.Int64 // time.Duration

	configurations *tail
	list           *tail
	answered       sync.Once
	foreign        sync.Once
}

// Run runs an instance until ctx ends. The error says what kept it from starting.
func Run(ctx context.Context, options Options) error {
	settings, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		return err
	}
	limitMemory(settings)
	return newRouter(settings, options).run(ctx)
}

func limitMemory(settings deployment.Settings) {
	debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryShare))
}

func newRouter(settings deployment.Settings, options Options) *Router {
	sink := logging.NewSink(options.Output)
	r := &Router{
		settings: settings, options: options, sink: sink,
		logger:   logging.NewLogger(sink, zap.InfoLevel).With(zap.String("instance", string(settings.Instance))),
		registry: prometheus.NewRegistry(),
		backends: platform.NewBackendClient(), fleet: backend.NewFleet(), idle: newIdleConnections(),
	}
	r.grace.Store(int64(settings.ShutdownGrace))
	metrics := newMetrics(r.registry, sink)
	r.store = platform.NewStoreClient(settings.StoreAddress, metrics.storeCall)
	r.gateway = gateway.New(gateway.Config{
		Settings: settings, RoutingTable: &r.current, Fleet: r.fleet, BackendClient: r.backends,
		Metrics: gateway.NewMetrics(r.registry), Logger: r.logger, OnBackendCrash: r.noteCrash, OnSlowdownMeasured: r.announcePace,
	})
	r.orderer = placementcontroller.New(placementcontroller.Config{
		Settings: settings, Store: r.store, BackendClient: r.backends, RoutingTable: &r.current, Fleet: r.fleet, Logger: r.logger,
		ReachableInstances: r.present, OnFencingToken: r.announceDuty, OnLayersReported: r.announceLayers, OnOrder: r.announceOrder,
	})
	r.mesh = r.newMesh()
	r.newTails()
	invariant.SetReporter(func(v *invariant.ViolationError) {
		metrics.violations.Inc()
		r.logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
	})
	return r
}

func (r *Router) run(ctx context.Context) error {
	defer r.sink.Close()
	front, err := net.Listen("tcp4", string(r.settings.FrontAddress))
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	server := &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader, ConnState: r.idle.note,
		ErrorLog: zap.NewStdLog(zap.NewNop()), // its lines concern broken clients only
	}
	working, stop := context.WithCancel(context.Background())
	defer stop()
	if err := r.serveSides(working); err != nil {
		return errors.Join(err, front.Close())
	}
	duties, endDuties := context.WithCancel(working)
	defer endDuties()
	r.startDuties(working, duties)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(front) }()
	r.logger.Info("started", zap.String("front", string(r.settings.FrontAddress)), zap.String("zone", string(r.settings.Zone)))
	select {
	case err := <-failed:
		return fmt.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	endDuties()
	r.drain(server)
	return nil
}

// startDuties starts what runs beside the serving of callers. duties ends as soon
// as the instance leaves, working when its last request has been answered.
func (r *Router) startDuties(working, duties context.Context) {
	go r.followConfiguration(working)
	go r.followBackends(working)
	go r.gateway.MonitorStreams(working)
	go r.idle.sweep(working, &r.current)
	go r.watchSettings(working)
	go r.noteStandstills(working)
	go r.mesh.Run(working)
	go r.followInstances(working)
	go r.tellLoads(working)
	go r.keepRegistered(duties)
	go r.orderer.Run(duties)
}

// drain answers what is under way and takes nothing new.
func (r *Router) drain(server *http.Server) {
	started := time.Now()
	r.leaving.Store(true)
	r.mesh.Leave()
	r.logger.Info("leaving")
	server.SetKeepAlivesEnabled(false)
	grace := time.Duration(r.grace.Load())
	time.Sleep(min(outOfRotation, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(grace-exitMargin))
	defer cancel()
	err := server.Shutdown(ctx)
	r.logger.Info("stopped", zap.Duration("took-ms", time.Since(started)), zap.NamedError("cut-off", err))
}

// serveSides serves readiness and metrics.
func (r *Router) serveSides(ctx context.Context) error {
	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadinessPath, r.serveReadiness)
	if err := r.serveSide(ctx, string(r.settings.ReadyAddress), ready); err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	if err := r.servePeers(ctx); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	address := net.JoinHostPort(r.settings.IP, strconv.Itoa(r.options.MetricsPort))
	if err := r.serveSide(ctx, address, metrics); err != nil {
		r.logger.Error("no metrics", zap.String("address", address), zap.Error(err))
	}
	return nil
}

func (r *Router) serveSide(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readyTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("side address failed", zap.String("address", address), zap.Error(err))
		}
	}()
	return nil
}

func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.answered.Do(func() { r.logger.Info("ready") })
	w.WriteHeader(http.StatusOK)
}

func (r *Router) ready() bool {
	_, configured := r.current.Load()
	return configured && r.fleet.Synced() && !r.leaving.Load()
}
