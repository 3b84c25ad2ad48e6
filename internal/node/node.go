// Package node is the life of a box on the platform: it follows the configuration, serves clients, takes the lease when
// nobody holds it, and stops as planned.
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
	"github.com/pulleyring/pulleyring/internal/awake"
	"github.com/pulleyring/pulleyring/internal/entry"
	"github.com/pulleyring/pulleyring/internal/fleet"
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

// Shard is the only shard of a site today; a site of thousands of workers has several, each with its own scheduler.
const Shard = "main"

// Configurations reads the configuration that the operator put in force.
type Configurations interface {
	// Read returns all that the operator has put in force.
	Read(ctx context.Context) (queue.Instructions, error)
	// Wait returns after a change past a version, or after a time, with the version to go on from.
	Wait(ctx context.Context, since int64, wait time.Duration) (int64, error)
}

// Platform is what a box needs of the platform.
type Platform struct {
	Store          store.Store                                                 // Over the box's own path.
	Network        relay.Network                                               // Other boxes that pass calls to the store on; nil for none.
	Configurations func(s store.Store) Configurations                          // Read from a store.
	Directory      func(s store.Store, f *measure.Figures) scheduler.Directory // The same.
	Orders         fleet.Orders
	Slept          func() time.Duration       // How long the machine has been suspended in all; nil to ask the system.
	Front          func(n *Node) http.Handler // Serves clients.
	Readiness      func(n *Node) http.Handler // Serves the balancer.
}

// Node is one box. Make it with New.
type Node struct {
	Entry   *entry.Entry
	Figures measure.Figures

	settings atomic.Pointer[Settings]
	platform Platform
	ledger   *ledger.Ledger
	holder   string       // The box with this start of it, once that is registered.
	start    ledger.Start // Its number is 0 until then.
	number   atomic.Int64 // The same number, for those that don't wait for it.
	log      *zap.Logger
	config   atomic.Pointer[queue.Configuration]
	halls    atomic.Pointer[knownHalls]
	relay    *relay.Store
	store    *relay.Watched // The store over any path.
	cache    *relay.Cache   // The same, for what other boxes of the hall follow too.
	operator watchedOperator
	lease    watchedLease
	stopping atomic.Bool

	outranked     chan struct{} // Closed once a later start of this box has come.
	outrankedOnce sync.Once
	later         ledger.Start // That one.
	// elsewhere is set where the start before this one was at another address.
	elsewhere atomic.Pointer[string]
	// scheduler is set while the box schedules.
	scheduler atomic.Pointer[scheduler.Scheduler]
}

// New returns a box that is not running yet.
func New(s *Settings, p Platform, log *zap.Logger) *Node {
	if p.Slept == nil {
		p.Slept = awake.Slept
	}
	n := &Node{platform: p, log: log, outranked: make(chan struct{}), start: ledger.Start{Name: xid.New().String()}}
	n.relay = &relay.Store{
		Direct:  relay.Watched{Store: p.Store, Path: relay.PathDirect, Log: log, Figures: &n.Figures},
		Network: p.Network, Book: relay.Book{Box: s.Box, Hall: s.Hall, Address: s.Relay, Takeover: s.Means.takeover(), Watchers: watchersOf(s.Halls)}, Log: log, Figures: &n.Figures,
	}
	n.relay.Book.Twin = n.noteTwin
	n.store = &relay.Watched{Store: n.relay, Path: relay.PathAny, Log: log, Figures: &n.Figures}
	n.ledger = &ledger.Ledger{Store: n.store, Shard: Shard}
	n.settings.Store(s)
	n.cache = &relay.Cache{Store: n.store}
	n.operator = newWatchedOperator(n)
	n.lease = newWatchedLease(n)
	n.Entry = &entry.Entry{Ledger: n.ledger, Configuration: n.Configuration, Healthy: n.store.Healthy, Out: n.store.Out, Closed: n.closed, Log: log, Figures: &n.Figures}
	return n
}

// Configuration returns the configuration in force, nil before the first.
func (n *Node) Configuration() *queue.Configuration { return n.config.Load() }

// closed reports whether every hall of the site is emptied, so that nothing can start.
func (n *Node) closed() bool {
	h := n.Halls()
	return h.AllEmptied(n.settings.Load().Halls)
}

// Stopping reports whether the box has been told to stop.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Ready reports whether the box should get new connections.
func (n *Node) Ready() bool {
	return !n.Stopping() && n.Configuration() != nil && !n.store.Out()
}

// Reload takes in changed settings; addresses stay as they were at the start.
func (n *Node) Reload(s *Settings) {
	n.settings.Store(s)
	n.log.Info("node: settings reloaded", zap.Duration("max_lease", s.Bounds.MaxLease))
}

const (
	// balancerDelay is the time in which the balancer notices that a box is not ready: two checks a second apart, and some.
	balancerDelay = 2500 * time.Millisecond
	// stopReserve is left of the time between SIGTERM and SIGKILL when the last requests are cut.
	stopReserve = 700 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
)

// Run serves until ctx ends, or a later start of the box has come (ErrOutranked), and then stops as planned: new connections go elsewhere, the lease is given back, what is in
// flight is answered.
func (n *Node) Run(ctx context.Context) error {
	s := n.settings.Load()
	n.log.Info("node: start", zap.String("box", s.Box), zap.String("hall", s.Hall), zap.String("start", n.start.Name))
	front, err := serve(s.Front, n.platform.Front(n), n.log)
	if err != nil {
		return err
	}
	ready, err := serve(s.Ready, n.platform.Readiness(n), n.log)
	if err != nil {
		return err
	}
	n.serveAside("metrics", s.Metrics, n.figuresHandler())
	n.serveAside("relay", s.Relay, relay.Handler(n.relay.Shared(n.cache)))
	var group sync.WaitGroup
	inner, cancel := context.WithCancel(context.Background())
	group.Go(func() { n.Work(ctx, inner) })
	select {
	case <-ctx.Done():
		err = nil
	case <-n.outranked:
		err = n.outrankedError()
	}
	n.stopping.Store(true)
	n.log.Info("node: stopping")
	n.drain(front, s)
	cancel()
	group.Wait()
	_ = ready.Close() // The process ends.
	n.log.Info("node: stopped")
	return err
}

// Work does all but serving: it follows the configuration until ctx ends, and schedules until planned ends, at which it
// gives the lease back.
func (n *Node) Work(planned, ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { n.relay.Run(ctx) })
	group.Go(func() { n.followOperator(ctx) })
	group.Go(func() { n.logCalls(ctx) })
	group.Go(func() { n.schedule(planned) })
	group.Wait()
}

// drain waits until the balancer sends no more connections and the last requests are answered.
func (n *Node) drain(front *http.Server, s *Settings) {
	began := time.Now()
	time.Sleep(min(balancerDelay, s.StopAfter/2))
	ctx, cancel := context.WithTimeout(context.Background(), s.StopAfter-stopReserve-time.Since(began))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		n.log.Warn("node: requests were cut", logsink.Error(err))
	}
}

// figuresHandler serves counters and histograms, which halls are emptied, and why a job stands as it does.
func (n *Node) figuresHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Method(http.MethodGet, "/metrics", &n.Figures)
	mux.Get("/halls", n.serveHalls)
	mux.Get("/why/{job}", n.serveWhy)
	return mux
}

// serveAside serves what a box can do its work without.
func (n *Node) serveAside(what, address string, handler http.Handler) {
	if address == "" {
		return
	}
	if _, err := serve(address, handler, n.log); err != nil {
		n.log.Warn("node: unable to serve", zap.String("what", what), logsink.Error(err))
	}
}

func serve(address string, handler http.Handler, log *zap.Logger) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "node: unable to listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(log)}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("node: server ended", logsink.Error(err))
		}
	}()
	return server, nil
}
