// Package node runs a box on the platform: it follows the configuration, serves clients, claims the lease when no
// other box holds it, and shuts down gracefully.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/admission"
	"github.com/pulleyring/pulleyring/internal/awake"
	"github.com/pulleyring/pulleyring/internal/entry"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/queue"
	"github.com/pulleyring/pulleyring/internal/relay"
	"github.com/pulleyring/pulleyring/internal/scheduler"
	"github.com/pulleyring/pulleyring/internal/store"
	"github.com/rs/xid"
	"go.uber.org/zap"
)

// Shard is the name of the only shard. A site of thousands of workers would have several, each with its own
// scheduler.
const Shard = "main"

// Configurations reads what the operator has put in force.
type Configurations interface {
	// Read returns the instructions that the operator has put in force.
	Read(ctx context.Context) (queue.Instructions, error)
	// Wait returns when something has changed since a version, or after wait, and returns the version to wait from
	// next.
	Wait(ctx context.Context, since int64, wait time.Duration) (int64, error)
}

// Platform holds what a box uses of the platform.
type Platform struct {
	// Store is the store over the direct path of this box.
	Store store.Store
	// Network connects to other boxes that forward calls to the store; nil for none.
	Network relay.Network
	// Configurations returns a reader of configurations in a store.
	Configurations func(s store.Store) Configurations
	// Directory returns the directory of workers in a store.
	Directory func(s store.Store, f *measure.Metrics) scheduler.Directory
	Commands  fleet.Commands
	// Suspended returns the total time the machine has been suspended; nil to ask the system.
	Suspended func() time.Duration
	// Front returns the handler for clients.
	Front func(n *Node) http.Handler
	// Readiness returns the handler for the load balancer.
	Readiness func(n *Node) http.Handler
}

// Node is one box. Create it with New.
type Node struct {
	Entry   *entry.Entry
	Metrics measure.Metrics

	settings         atomic.Pointer[Settings]
	platform         Platform
	ledger           *ledger.Ledger
	holder           string       // Name under which this start holds the lease; set once the start is registered.
	start            ledger.Start // This start; its number is 0 until it is registered.
	registeredNumber atomic.Int64 // Number of start, for reads by other goroutines.
	log              *zap.Logger
	config           atomic.Pointer[queue.Configuration]
	halls            atomic.Pointer[knownHalls]
	relay            *relay.Store
	store            *relay.MonitoredStore // The store over the direct path or through other boxes.
	cache            *relay.Cache          // Wraps store; serves the rows that it read to other boxes of the hall.
	operator         watchedOperator
	lease            watchedLease
	watchedLoad      watchedLoad
	load             atomic.Pointer[admission.Summary] // As last read; nil before.
	stopping         atomic.Bool

	superseded     chan struct{} // Closed once a later start of this box is registered.
	supersededOnce sync.Once
	laterStart     ledger.Start // The start that superseded this one.
	// addressNote is a note for operators; it is set if the previous start of this box had another address.
	addressNote atomic.Pointer[string]
	// scheduler is set while the box schedules.
	scheduler atomic.Pointer[scheduler.Scheduler]
}

// New returns a box that is not running yet.
func New(s *Settings, p Platform, log *zap.Logger) *Node {
	if p.Suspended == nil {
		p.Suspended = awake.Suspended
	}
	n := &Node{platform: p, log: log, superseded: make(chan struct{}), start: ledger.Start{Name: xid.New().String()}}
	n.relay = &relay.Store{
		Direct:  relay.MonitoredStore{Store: p.Store, Path: relay.PathDirect, Log: log, Figures: &n.Metrics},
		Network: p.Network, Directory: relay.PeerDirectory{Box: s.Box, Hall: s.Hall, Address: s.Relay, TakeoverTime: s.Means.takeoverTime(), Watchers: watchersPerHall(s.Halls)}, Log: log, Figures: &n.Metrics,
	}
	n.relay.Directory.OnDuplicate = n.checkDuplicateBox
	n.store = &relay.MonitoredStore{Store: n.relay, Path: relay.PathAny, Log: log, Figures: &n.Metrics}
	n.ledger = &ledger.Ledger{Store: n.store, Shard: Shard, RowBytes: s.RowBytes}
	n.settings.Store(s)
	n.cache = &relay.Cache{Store: n.store}
	n.operator = newWatchedOperator(n)
	n.lease = newWatchedLease(n)
	n.watchedLoad = newWatchedLoad(n)
	n.Entry = &entry.Entry{Ledger: n.ledger, Configuration: n.Configuration, StoreHealthy: n.store.Healthy, StoreUnreachable: n.store.Unreachable, AllHallsEmptied: n.allHallsEmptied, Load: n.Load, RefusalsDisabled: n.refusalsDisabled, JobMemory: s.Bounds.JobMemory, Log: log, Figures: &n.Metrics}
	return n
}

// Configuration returns the configuration in force, or nil if none was read yet.
func (n *Node) Configuration() *queue.Configuration { return n.config.Load() }

// allHallsEmptied reports whether every hall of the site is emptied, so that nothing can start.
func (n *Node) allHallsEmptied() bool {
	h := n.Halls()
	return h.AllEmptied(n.settings.Load().Halls)
}

// Stopping reports whether the box is shutting down.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Ready reports whether the load balancer should send new connections to this box.
func (n *Node) Ready() bool {
	return !n.Stopping() && n.Configuration() != nil && !n.store.Unreachable()
}

// Reload applies changed settings. Changed addresses have no effect until the box is started again.
func (n *Node) Reload(s *Settings) {
	n.settings.Store(s)
	n.log.Info("node: settings reloaded", zap.Duration("max_lease", s.Bounds.MaxLease))
}

const (
	// balancerDelay is the time until the load balancer notices that a box is not ready: two checks, a second apart,
	// and a margin.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is how long before SIGKILL the requests that are still open are aborted.
	stopReserve = 700 * time.Millisecond
	// headerTimeout limits reading the header of a request of other boxes or of monitoring.
	headerTimeout = 5 * time.Second
	// internalIdleTimeout closes unused connections of other boxes and of monitoring.
	internalIdleTimeout = 5 * time.Minute
	// maxInternalHeader limits the header of a request of other boxes or of monitoring.
	maxInternalHeader = 16 << 10
)

// Run serves until ctx ends or a later start of this box is registered (ErrSuperseded). Then it shuts down
// gracefully: new connections go to other boxes, the lease is released and open requests are answered.
func (n *Node) Run(ctx context.Context) error {
	s := n.settings.Load()
	n.log.Info("node: start", zap.String("box", s.Box), zap.String("hall", s.Hall), zap.String("start", n.start.Name))
	front, err := n.serveClients("front", s.Front, s.Ingress, n.platform.Front(n))
	if err != nil {
		return err
	}
	ready, err := n.serveClients("ready", s.Ready, ingress.CheckLimits(s.Ingress), n.platform.Readiness(n))
	if err != nil {
		return err
	}
	n.serveOptional("metrics", s.Metrics, n.metricsHandler())
	n.serveOptional("relay", s.Relay, relay.Handler(n.relay.Shared(n.cache)))
	var group sync.WaitGroup
	inner, cancel := context.WithCancel(context.Background())
	group.Go(func() { n.Work(ctx, inner) })
	select {
	case <-ctx.Done():
		err = nil
	case <-n.superseded:
		err = n.supersededError()
	}
	n.stopping.Store(true)
	n.log.Info("node: stopping")
	n.drainRequests(front, s)
	cancel()
	group.Wait()
	_ = ready.Close() // An error does not matter: the process ends.
	n.log.Info("node: stopped")
	return err
}

// Work does everything except serving clients. It follows the configuration until ctx ends. It schedules until planned
// ends, and then releases the lease.
func (n *Node) Work(planned, ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.relay.Run(ctx) })
	group.Go(func() { n.followOperator(ctx) })
	group.Go(func() { n.followLoad(ctx) })
	group.Go(func() { n.logCalls(ctx) })
	group.Go(func() { n.schedule(planned) })
	group.Wait()
}

// drainRequests waits until the load balancer sends no more connections and the last requests are answered.
func (n *Node) drainRequests(front *ingress.Server, s *Settings) {
	began := time.Now()
	time.Sleep(min(balancerDelay, s.StopAfter/2))
	ctx, cancel := context.WithTimeout(context.Background(), s.StopAfter-stopReserve-time.Since(began))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		n.log.Warn("node: open requests were aborted at the end of the shutdown time", logsink.Error(err))
	}
}

// metricsHandler serves metrics, the emptied halls, the state of a job with its reasons, the learned speeds of workers,
// and the capacity kept for urgent work.
func (n *Node) metricsHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Method(http.MethodGet, "/metrics", &n.Metrics)
	mux.Get("/halls", n.serveHalls)
	mux.Get("/why/{job}", n.serveWhy)
	mux.Get("/speeds", n.serveSpeeds)
	mux.Get("/headroom", n.serveHeadroom)
	return mux
}

// serveOptional starts a server that the box can work without; a failure is only logged.
func (n *Node) serveOptional(what, address string, handler http.Handler) {
	if address == "" {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		n.log.Warn("node: unable to listen; the box runs without this server", zap.String("what", what), logsink.Error(err))
		return
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: maxInternalHeader,
		ErrorLog: zap.NewStdLog(n.log),
	}
	go n.logServerEnd(what, func() error { return server.Serve(l) })
}

// serveClients serves clients on an address, within limits.
func (n *Node) serveClients(name, address string, l ingress.Limits, handler http.Handler) (*ingress.Server, error) {
	listener, err := ingress.Listen(address)
	if err != nil {
		return nil, err
	}
	server := ingress.NewServer(name, l, handler, n.log, &n.Metrics)
	go n.logServerEnd(name, func() error { return server.Serve(listener) })
	return server, nil
}

// logServerEnd runs a server and logs its end unless it was shut down.
func (n *Node) logServerEnd(what string, run func() error) {
	if err := run(); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error("node: server stopped unexpectedly", zap.String("what", what), logsink.Error(err))
	}
}
