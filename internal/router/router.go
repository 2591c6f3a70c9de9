// Package router runs one instance on the users' platform: it reads the settings,
// follows the configuration and the backend list, serves clients, and
// sends placement orders while it holds the lease of its zone.
//
// Usage:
//
//	err := router.Run(ctx, router.Options{SettingsPath: platform.SettingsPath(), MetricsPort: 9464, Output: os.Stdout})
//
// Run returns once ctx has ended and the requests in flight have completed, or the
// shutdown grace period of the settings is nearly over.
package router

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
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
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"mulberryhead.org/mulberryhead/internal/backend"
	"mulberryhead.org/mulberryhead/internal/clientbudget"
	"mulberryhead.org/mulberryhead/internal/deployment"
	"mulberryhead.org/mulberryhead/internal/gateway"
	"mulberryhead.org/mulberryhead/internal/invariant"
	"mulberryhead.org/mulberryhead/internal/logging"
	"mulberryhead.org/mulberryhead/internal/peer"
	"mulberryhead.org/mulberryhead/internal/placementcontroller"
	"mulberryhead.org/mulberryhead/internal/relay"
	"mulberryhead.org/mulberryhead/internal/routing"
	"mulberryhead.org/mulberryhead/platform"
)

const (
	// memoryShare is the fraction of the settings' memory limit that is set as the limit of the Go runtime at
	// most, and reservedMemory what is left beside it at least: for the program itself, for what the runtime
	// allocates before it has collected enough, and for bytes that were received and not read.
	memoryShare    = 0.7
	reservedMemory = 28 << 20 // bytes
	// deregistrationDelay is how long the platform may still send new connections
	// after the instance has reported that it is not ready.
	deregistrationDelay = 3 * time.Second
	// exitMargin is the part of the shutdown grace period that is left for the exit
	// itself.
	exitMargin = 400 * time.Millisecond
	// headerTimeout and maxHeaderBytes bound a client's header, with its request line, before a
	// configuration is active and where the active one sets no limit. It can only set lower ones.
	headerTimeout  = 30 * time.Second
	maxHeaderBytes = 1 << 20
	// auxiliaryHeaderTimeout, auxiliaryHeaderBytes and auxiliaryIdleTimeout bound what callers of the
	// addresses for readiness, metrics and peers may do, and auxiliaryReadTimeout requests to the first two.
	auxiliaryHeaderTimeout = time.Second
	auxiliaryHeaderBytes   = 16 << 10
	auxiliaryIdleTimeout   = time.Minute
	auxiliaryReadTimeout   = 5 * time.Second
	// maxAuxiliaryConnections is how many connections the addresses for readiness and metrics take each,
	// and descriptorsPerPeer how many descriptors there are for each connection of a peer.
	maxAuxiliaryConnections = 64
	descriptorsPerPeer      = 4
	// maxClientLines bounds the lines of one text a second that clients cause.
	maxClientLines = 5
)

// Options configure Run.
type Options struct {
	SettingsPath string
	MetricsPort  int
	// ZoneShares is set if a zone sends a share of its demand to other zones where that pays, and
	// keeps the rest. Otherwise each request takes the cheapest path over all zones.
	ZoneShares bool
	// ZoneCrossingCost is the delay that a request must be expected to save for each megabyte that
	// crosses to another zone.
	ZoneCrossingCost time.Duration
	Output           io.Writer
	// WrapDial wraps the opening of connections to backend servers, for tests and for hosts
	// with several networks. With nil they are opened directly.
	WrapDial func(dial platform.DialFunc) platform.DialFunc
	// WrapPeerConnection wraps each connection to or from a peer, for tests. With nil they are
	// used as they are.
	WrapPeerConnection func(net.Conn) net.Conn
}

// dialBackend returns what opens connections to backend servers. Its users bound the time.
func (o *Options) dialBackend() platform.DialFunc {
	dial := platform.DialFunc(platform.Dialer(0, platform.BackendSilence).DialContext)
	if o.WrapDial == nil {
		return dial
	}
	return o.WrapDial(dial)
}

// Router is one running instance with its connections to the store, the backend
// servers and its peers.
type Router struct {
	settings deployment.Settings
	options  Options
	sink     *logging.Sink
	logger   *zap.Logger
	registry *prometheus.Registry
	metrics  *metrics

	store         *platform.StoreClient
	backendClient *platform.BackendClient
	routingTable  routing.ActiveTable
	fleet         *backend.Fleet
	gateway       *gateway.Gateway
	controller    *placementcontroller.Controller
	clients       *clientConnections
	clientPool    *clientbudget.Pool
	mesh          *peer.Mesh
	zoneRelays    zoneRelays
	links         *backend.Links
	relayKey      relay.Key
	relayPeers    *relay.SharedDirectory
	relayHandler  *relay.Handler
	// linksStateAt is when the others were last told, by broadcastLoads, and toldOutOfReach what.
	linksStateAt   time.Time
	toldOutOfReach bool
	shuttingDown   atomic.Bool
	shutdownGrace  atomic.Int64                        // time.Duration
	limitSettings  atomic.Pointer[deployment.Settings] // the newest, of which the limits are used

	configurations      *consumer
	newestConfiguration *newestConfiguration
	poisonRecords       *poisonRecords
	backendList         *consumer
	answers             *rate.Limiter // of records to peers that ask
	readyLogged         sync.Once
	ignoredEntries      *ignoredEntries
	invalidReports      *rate.Limiter // of log lines on reports of peers that were ignored
}

// Run runs an instance until ctx ends. It returns an error if the instance can't start
// or can no longer accept clients.
func Run(ctx context.Context, options Options) error {
	settings, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		return err
	}
	limitMemory(settings)
	return newRouter(settings, options).run(ctx)
}

// limitMemory sets the limit of the Go runtime, if the settings have one.
func limitMemory(settings deployment.Settings) {
	if limit := runtimeMemory(settings); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

// runtimeMemory returns the limit of the Go runtime in bytes, 0 for none.
func runtimeMemory(settings deployment.Settings) int64 {
	share := int64(float64(settings.MemoryLimit) * memoryShare)
	return max(share/2, min(share, settings.MemoryLimit-reservedMemory))
}

func newRouter(settings deployment.Settings, options Options) *Router {
	sink := logging.NewSink(options.Output)
	r := &Router{
		settings: settings, options: options, sink: sink,
		logger:   logging.NewLogger(sink, zap.InfoLevel).With(zap.String("instance", string(settings.Instance))),
		registry: prometheus.NewRegistry(),
		fleet:    backend.NewFleet(settings.Zone), relayKey: relay.NewKey(), relayPeers: relay.NewSharedDirectory(settings.Instance),
	}
	r.clients = newClientConnections(r.logger)
	r.clientPool = clientbudget.NewPool(clientLimits(settings, 0))
	r.links = backend.NewLinks(backend.LinksConfig{
		Fleet: r.fleet, Dial: options.dialBackend(), Logger: r.logger, OnCutOff: r.broadcastLinksState, OnLinkDown: r.broadcastLinkDown,
	})
	r.backendClient = platform.NewBackendClient(r.links.Dial, func(address deployment.Address) { r.fleet.RecordCall(time.Now(), address) }, r.recordStatement)
	r.shutdownGrace.Store(int64(settings.ShutdownGrace))
	r.limitSettings.Store(&settings)
	r.metrics = newMetrics(r.registry, sink, r.fleet)
	r.ignoredEntries = newIgnoredEntries(r.logger, r.metrics.ignoredEntries)
	r.fleet.AddServices(nil) // entries wait for the first configuration
	r.answers = newAnswerLimiter()
	r.invalidReports = rate.NewLimiter(rate.Every(time.Minute), 1)
	r.newestConfiguration = newNewestConfiguration()
	r.store = platform.NewStoreClient(settings.StoreAddress, r.metrics.storeCall)
	r.gateway = gateway.New(gateway.Config{
		Settings: settings, RoutingTable: &r.routingTable, Fleet: r.fleet, BackendClient: r.backendClient, Dial: r.links.Dial,
		Metrics: gateway.NewMetrics(r.registry), Logger: r.logger, OnPoisonEvidence: r.broadcastPoisonEvidence, OnSlowdownMeasured: r.broadcastSlowdown,
		OnObservation: r.broadcastObservation, Links: r.links, Peers: r.relayPeers, Leaving: r.shuttingDown.Load,
		ZoneShares: options.ZoneShares, ZoneCrossingCost: options.ZoneCrossingCost, Clients: r.clientPool,
	})
	r.metrics.observeClients(r.registry, r.gateway, r.clientPool)
	r.relayHandler = relay.NewHandler(relay.HandlerConfig{
		Self: settings.Instance, Key: r.relayKey, BodyLimit: r.bodyLimit, Hold: r.gateway.HoldRelayed, Server: r.gateway, Logger: r.logger,
	})
	r.controller = placementcontroller.New(placementcontroller.Config{
		Settings: settings, Store: r.store, BackendClient: r.backendClient, RoutingTable: &r.routingTable, Fleet: r.fleet, Logger: r.logger,
		ReachableInstances: r.activeInZone, CutOff: r.zoneOutOfReach, OnFencingToken: r.broadcastLease, OnLayersReported: r.broadcastLayersHeld, OnOrder: r.broadcastOrder,
	})
	r.mesh = r.newMesh()
	r.newConsumers()
	invariant.SetReporter(func(v *invariant.ViolationError) {
		r.metrics.violations.Inc()
		r.logger.Error("invariant violated", zap.String("invariant", string(v.Name)), zap.String("detail", v.Detail))
	})
	return r
}

func (r *Router) run(ctx context.Context) error {
	defer r.sink.Close()
	front, err := r.listen(ctx, string(r.settings.FrontAddress))
	if err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	server := &http.Server{
		Handler: r.gateway, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: r.clients.onStateChange,
		ErrorLog: r.clientServerLog(), ConnContext: withAccount,
	}
	untilDrained, stop := context.WithCancel(context.Background())
	defer stop()
	if err := r.serveAuxiliary(ctx, untilDrained); err != nil {
		return errors.Join(err, front.Close())
	}
	untilShutdown, beginShutdown := context.WithCancel(untilDrained)
	defer beginShutdown()
	r.startBackground(untilDrained, untilShutdown)
	failed := make(chan error, 1)
	go func() {
		failed <- server.Serve(clientListener{Listener: front, clients: r.clientPool, maxHeaderBytes: r.maxHeaderBytes})
	}()
	r.logger.Info("started", zap.String("front", string(r.settings.FrontAddress)), zap.String("zone", string(r.settings.Zone)))
	select {
	case err := <-failed:
		return fmt.Errorf("serve clients: %w", err)
	case <-ctx.Done():
	}
	beginShutdown()
	shutdown := r.beginShutdown(server)
	time.Sleep(time.Until(shutdown.AcceptsUntil))
	err = front.Close()
	if served := <-failed; !errors.Is(served, net.ErrClosed) { // until then connections may be accepted
		err = errors.Join(err, served)
	}
	r.finish(shutdown, err)
	return server.Close()
}

// clientServerLog returns the log for net/http's messages, such as errors of Accept.
func (r *Router) clientServerLog() *log.Logger {
	return zap.NewStdLog(sampled(r.logger).With(zap.String("source", "net/http")))
}

// sampled returns a logger for lines that clients cause: of those with the same text some few a second are
// logged.
func sampled(logger *zap.Logger) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, time.Second, maxClientLines, 0)
	}))
}

// startBackground starts the goroutines that run beside the serving of clients.
// untilShutdown ends as soon as the instance begins to shut down, untilDrained after its
// last request has completed.
func (r *Router) startBackground(untilDrained, untilShutdown context.Context) {
	go r.followConfiguration(untilDrained)
	go r.followBackends(untilDrained)
	go r.gateway.MonitorStreams(untilDrained)
	go r.clients.sweep(untilDrained, &r.routingTable)
	go r.followMemory(untilDrained)
	go r.watchSettings(untilDrained)
	go r.logPauses(untilDrained)
	go r.mesh.Run(untilDrained)
	go r.followInstances(untilDrained)
	go r.broadcastLoads(untilDrained)
	go r.sharePoisonEvidence(untilDrained)
	go r.keepPoisonRecord(untilDrained)
	go r.keepRegistered(untilShutdown)
	go r.controller.Run(untilShutdown)
}

// beginShutdown reports the instance as not ready. It takes new connections for deregistrationDelay, or
// half the shutdown grace period if that is shorter, and after that only requests that are answered
// before the grace period is nearly over.
func (r *Router) beginShutdown(server *http.Server) gateway.Shutdown {
	began := time.Now()
	r.shuttingDown.Store(true)
	r.mesh.Leave()
	r.logger.Info("leaving")
	server.SetKeepAlivesEnabled(false)
	grace := time.Duration(r.shutdownGrace.Load())
	shutdown := gateway.Shutdown{
		Began: began, AcceptsUntil: began.Add(min(deregistrationDelay, grace/2)), End: began.Add(grace - exitMargin),
	}
	r.gateway.BeginShutdown(shutdown)
	return shutdown
}

// finish waits for the requests in flight, until the grace period is nearly over.
func (r *Router) finish(shutdown gateway.Shutdown, err error) {
	ctx, cancel := context.WithDeadline(context.Background(), shutdown.End)
	defer cancel()
	err = errors.Join(err, r.clients.finish(ctx), r.relayHandler.WaitUntilIdle(ctx))
	r.logger.Info("stopped", zap.Duration("took-ms", time.Since(shutdown.Began)), zap.NamedError("cut-off", err))
}

// serveAuxiliary serves readiness, peer links and metrics until untilDrained ends. The instance also
// runs without its metrics endpoint. ctx ends the waiting for addresses.
func (r *Router) serveAuxiliary(ctx, untilDrained context.Context) error {
	address := string(r.settings.ReadyAddress)
	listener, err := r.listen(ctx, address)
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	ready := mux.NewRouter()
	ready.HandleFunc(platform.ReadinessPath, r.serveReadiness)
	r.serveListener(untilDrained, newBoundedListener(listener, maxAuxiliaryConnections), address, ready, auxiliaryReadTimeout)
	address = string(r.settings.PeerAddress)
	if listener, err = r.listen(ctx, address); err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	peers := newBoundedListener(listener, r.settings.MaxDescriptors/descriptorsPerPeer)
	// Links have no limit of time, and requests of peers one of their own.
	r.serveListener(untilDrained, peerListener{Listener: peers, wrap: r.options.WrapPeerConnection}, address, r.peerHandler(), 0)
	address = net.JoinHostPort(r.settings.IP, strconv.Itoa(r.options.MetricsPort))
	if listener, err = net.Listen("tcp4", address); err != nil {
		r.logger.Error("metrics endpoint unavailable", zap.String("address", address), zap.Error(err))
		return nil
	}
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	r.serveListener(untilDrained, newBoundedListener(listener, maxAuxiliaryConnections), address, metrics, auxiliaryReadTimeout)
	return nil
}

// serveListener serves requests in the background until ctx ends. readTimeout bounds the time in which a request
// must have come, 0 for no bound but that of its header.
func (r *Router) serveListener(ctx context.Context, listener net.Listener, address string, handler http.Handler, readTimeout time.Duration) {
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: auxiliaryHeaderTimeout, MaxHeaderBytes: auxiliaryHeaderBytes,
		ReadTimeout: readTimeout, IdleTimeout: auxiliaryIdleTimeout,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("auxiliary server failed", zap.String("address", address), zap.Error(err))
		}
	}()
}

func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.readyLogged.Do(func() { r.logger.Info("ready") })
	w.WriteHeader(http.StatusOK)
}

func (r *Router) ready() bool {
	_, configured := r.routingTable.Load()
	return configured && r.fleet.Synced() && !r.shuttingDown.Load()
}
