// Package box assembles and runs the components of one box.
package box

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/api"
	"github.com/pulleyring/pulleyring/internal/awake"
	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/hall"
	"github.com/pulleyring/pulleyring/internal/ingress"
	"github.com/pulleyring/pulleyring/internal/intake"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/measure"
	"github.com/pulleyring/pulleyring/internal/member"
	"github.com/pulleyring/pulleyring/internal/object"
	"github.com/pulleyring/pulleyring/internal/operator"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/time/rate"
)

// Platform groups the external services that a box uses.
type Platform struct {
	Table     table.Service
	Objects   object.Store
	List      member.List
	Workers   worker.Service
	Upstreams upstream.Service
	Network   link.Network
}

// Box is one box of a site. Create it with New.
type Box struct {
	Settings  *settings.Box
	Config    *config.Keeper
	Committer *table.Committer
	Members   *member.Members
	Intake    *intake.Intake
	Desk      *operator.Runner
	API       *api.Server
	Recorder  *timeline.Recorder
	Registry  metrics.Registry
	Log       *zap.Logger

	platform    Platform
	readLimiter *rate.Limiter
	mu          sync.Mutex
	keepers     map[string]*hall.Controller // By name of the hall.
	hallNames   []string                    // Names of the halls in the order of the configuration.
	background  sync.WaitGroup
	ctx         context.Context
}

// sendTimeout limits a message to another box.
const sendTimeout = time.Second

// New creates a box with its components; Run starts them.
func New(s *settings.Box, p Platform, log *zap.Logger) *Box {
	b := &Box{Settings: s, Log: log, platform: p, Registry: metrics.NewRegistry(), keepers: map[string]*hall.Controller{}}
	b.readLimiter = rate.NewLimiter(rate.Limit(s.Budget.ReadsPerSecond), burst(s.Budget.ReadsPerSecond))
	b.platform.Table = &table.RateLimited{Service: p.Table, Reads: b.readLimiter}
	b.Recorder = &timeline.Recorder{Box: s.Name, MaxEvents: s.Limits.TimelineEvents}
	b.Config = &config.Keeper{Table: b.platform.Table, Changed: b.configChanged}
	b.Committer = &table.Committer{Service: p.Table, Limiter: rate.NewLimiter(rate.Limit(s.Budget.WritesPerSecond), burst(s.Budget.WritesPerSecond))}
	b.Members = &member.Members{
		Self:   link.Entry{Name: s.Name, Hall: s.Hall, Listen: s.Listen, Link: s.LinkListen},
		Timing: s.Timing, List: p.List, Network: clockedNetwork{b}, Describe: b.heartbeatContent, OnHeartbeat: b.fetchNewerConfig,
	}
	router := &upstream.Router{Hall: s.Hall, RetryShare: s.Limits.RetryShare, EjectShare: s.Limits.EjectShare}
	b.Intake = b.newIntake(router)
	b.Desk = &operator.Runner{
		Box: s.Name, Settings: s, Config: b.Config, Committer: b.Committer, Intake: b.Intake, Router: router,
		Members: b.Members, Network: clockedNetwork{b}, Recorder: b.Recorder, Controllers: b.Keepers, AnnounceChange: b.notifyChange,
	}
	b.API = &api.Server{
		Settings: s, Config: b.Config, Intake: b.Intake, Operator: b.Desk, Apply: b.apply, Timeline: b.timeline, Registry: b.Registry,
	}
	b.registerGauges()
	return b
}

// burst returns the number of operations of a budget that may be used at once: a tenth of those of one second.
func burst(perSecond int) int { return max(1, perSecond/10) }

func (b *Box) newIntake(router *upstream.Router) *intake.Intake {
	return &intake.Intake{
		Box: b.Settings.Name, Settings: b.Settings, Table: b.platform.Table, Committer: b.Committer, Objects: b.platform.Objects,
		Upstreams: b.platform.Upstreams, Router: router, Admission: &intake.Admission{MaxInFlight: b.Settings.Limits.InFlight},
		Config: b.Config, Recorder: b.Recorder, Log: b.Log, Loads: b.loads, NotifyChange: b.notifyChange, Alive: b.Members.Alive,
		SettlesPending: func() bool { return b.Members.PreferredFor("open").Name == b.Settings.Name },
		Metrics:        b.intakeMetrics(), Suspended: awake.Suspended,
	}
}

// Run serves callers on the listener. After planned is closed it shuts down gracefully and returns. When ctx ends it
// stops immediately, which looks like a crash to the other boxes.
func (b *Box) Run(ctx context.Context, planned <-chan struct{}, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := ingress.NewServer("api", b.Settings.Limits.Ingress(b.Settings.Keys.TLSCertificate != ""), b.API.Handler(), b.Log, measure.On(b.Registry))
	b.start(ctx)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	b.Log.Info("box: serving", zap.String("box", b.Settings.Name), zap.String("listen", listener.Addr().String()))
	select {
	case <-ctx.Done():
	case <-planned:
		b.shutDown(ctx, server)
	case err := <-failed:
		return errors.Wrap(err, "box: unable to serve")
	}
	cancel()
	_ = server.Close() // An error does not matter: the box stops anyway.
	b.background.Wait()
	return nil
}

// start starts the components in the background and marks the box as ready.
func (b *Box) start(ctx context.Context) {
	b.ctx = ctx
	b.background.Go(func() { b.Committer.Run(ctx) })
	b.background.Go(func() { b.Members.Run(ctx) })
	b.background.Go(func() { b.Intake.Run(ctx) })
	b.background.Go(func() { interval.Every(ctx, b.Settings.Timing.Refresh, b.refresh) })
	b.API.SetReady(true)
}

// refresh reads new configurations and operators' orders and divides the budgets among the live boxes.
func (b *Box) refresh(ctx context.Context) {
	if err := b.Config.Refresh(ctx); err != nil {
		b.Log.Debug("config: " + err.Error())
	}
	b.applyBudgetShares()
}

// applyBudgetShares sets this box's share of the table's read and write budget and of the upstreams' connections.
func (b *Box) applyBudgetShares() {
	boxes := b.Members.Count()
	b.Committer.Limiter.SetLimit(rate.Limit(float64(b.Settings.Budget.WritesPerSecond) / float64(boxes)))
	b.readLimiter.SetLimit(rate.Limit(float64(b.Settings.Budget.ReadsPerSecond) / float64(boxes)))
	if site := b.Config.Site(); site != nil {
		orders := b.Config.Orders()
		b.Intake.Router.Update(site.Upstreams, func(name string) bool { return orders.Drained("upstream", name) }, boxes)
	}
}

// configChanged applies a new configuration or new orders: it starts keepers for new halls and updates the upstreams.
func (b *Box) configChanged(text string) {
	site, orders := b.Config.Versions()
	b.Log.Info("config: "+text, zap.Int64("site_version", site), zap.Int64("orders_version", orders))
	b.Recorder.Add(timeline.Event{Part: "config", Text: text})
	b.applyBudgetShares()
	for _, h := range b.Config.Site().Halls {
		b.keeper(h.Name)
	}
}

// keeper returns the keeper of a hall, creating and starting it if there is none.
func (b *Box) keeper(name string) *hall.Controller {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.keepers[name]; k != nil {
		return k
	}
	k := &hall.Controller{
		Hall: name, Settings: b.Settings, Committer: b.Committer, Rows: &hall.RowCache{Hall: name, Table: b.platform.Table},
		Workers: b.platform.Workers, Objects: b.platform.Objects, Config: b.Config, Recorder: b.Recorder, Log: b.Log,
		Policy:    decider.Pulleyring{},
		Preferred: func() bool { return b.Members.Preferred(name).Name == b.Settings.Name },
		Loads:     b.loads, NotifySettled: b.deliverOutcome, NotifyChanged: b.notifyChange, Metrics: b.hallMetrics(),
	}
	b.keepers[name] = k
	b.hallNames = append(b.hallNames, name)
	b.background.Go(func() { k.Run(b.ctx) })
	return k
}

// Keepers returns the keepers of all halls.
func (b *Box) Keepers() []*hall.Controller {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*hall.Controller, len(b.hallNames))
	for i, name := range b.hallNames {
		list[i] = b.keepers[name]
	}
	return list
}

// apply commits a configuration that replaces version base, or the current one if base is negative. It returns the new
// version, or an api.ConflictError if another version is current.
func (b *Box) apply(ctx context.Context, text string, base int64) (int64, error) {
	if _, err := parseSite(text); err != nil {
		return 0, err
	}
	if err := b.Config.Refresh(ctx); err != nil {
		return 0, errors.Wrap(err, "box: the table can't be asked")
	}
	current, _ := b.Config.Versions()
	if base >= 0 && base != current {
		return 0, &api.ConflictError{Version: current}
	}
	version, err := b.Committer.Do(ctx, b.Config.SiteOp(text))
	var conflict *table.Conflict
	if errors.As(err, &conflict) {
		_ = b.Config.Refresh(ctx) // Reads the current version for the error.
		current, _ = b.Config.Versions()
		return 0, &api.ConflictError{Version: current}
	}
	if err != nil {
		return 0, errors.Wrap(err, "box: whether the configuration was committed is not known; ask show settings")
	}
	if err := b.Config.Refresh(ctx); err == nil {
		b.notifyChange(config.Prefix)
	}
	return version, nil
}

// shutDown shuts the box down gracefully. It fails the balancer's readiness check, stops being preferred for halls,
// waits until the balancer has noticed, and then lets everything in flight finish, for at most StopWithin.
func (b *Box) shutDown(ctx context.Context, server *ingress.Server) {
	b.Log.Info("box: planned shutdown started")
	b.Recorder.Add(timeline.Event{Part: "box", Text: "leaves as planned"})
	b.API.SetReady(false)
	b.Members.Leave()
	interval.Sleep(ctx, b.Settings.Timing.BalancerDelay)
	b.API.Leave()
	ctx, cancel := context.WithTimeout(ctx, b.Settings.Timing.StopWithin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.Log.Warn("box: shutdown timed out with requests in flight; closing their connections: " + err.Error())
	}
	b.drain(ctx)
}

// drain waits until this box has no unfinished work or ctx ends.
func (b *Box) drain(ctx context.Context) {
	for !b.idle() {
		if !interval.Sleep(ctx, 20*time.Millisecond) {
			b.Log.Warn("box: shutdown timed out with unfinished work; stopping anyway")
			return
		}
	}
}

// idle reports whether no commit, request, unrecorded outcome or keeper's operation of this box is unfinished.
func (b *Box) idle() bool {
	if b.Committer.Waiting() > 0 || b.Intake.Unrecorded() > 0 || b.Intake.Admission.InFlight() > 0 {
		return false
	}
	for _, k := range b.Keepers() {
		if k.BusyJobs() > 0 {
			return false
		}
	}
	return true
}
