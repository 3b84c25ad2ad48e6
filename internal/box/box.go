// Package box puts the parts of one box together and runs them.
package box

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/api"
	"github.com/pulleyring/pulleyring/internal/awake"
	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/decider"
	"github.com/pulleyring/pulleyring/internal/hall"
	"github.com/pulleyring/pulleyring/internal/intake"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/link"
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

// Platform is what a box needs from outside.
type Platform struct {
	Table     table.Service
	Objects   object.Store
	List      member.List
	Workers   worker.Service
	Upstreams upstream.Service
	Network   link.Network
}

// Box is one box. Make one with New.
type Box struct {
	Settings  *settings.Box
	Config    *config.Keeper
	Committer *table.Committer
	Members   *member.Members
	Intake    *intake.Intake
	Desk      *operator.Desk
	API       *api.Server
	Recorder  *timeline.Recorder
	Registry  metrics.Registry
	Log       *zap.Logger

	platform Platform
	reads    *rate.Limiter
	mu       sync.Mutex
	keepers  map[string]*hall.Keeper
	order    []string // Halls in the order of the configuration.
	group    sync.WaitGroup
	ctx      context.Context
}

// Times of a box that are no settings.
const (
	sendTimeout      = time.Second // Bounds a message to another box.
	readHeaderWithin = 10 * time.Second
)

// New puts a box together.
func New(s *settings.Box, p Platform, log *zap.Logger) *Box {
	b := &Box{Settings: s, Log: log, platform: p, Registry: metrics.NewRegistry(), keepers: map[string]*hall.Keeper{}}
	b.reads = rate.NewLimiter(rate.Limit(s.Budget.ReadsPerSecond), burst(s.Budget.ReadsPerSecond))
	b.platform.Table = &table.Budgeted{Service: p.Table, Reads: b.reads}
	b.Recorder = &timeline.Recorder{Box: s.Name, Most: s.Limits.TimelineEvents}
	b.Config = &config.Keeper{Table: b.platform.Table, Changed: b.configChanged}
	b.Committer = &table.Committer{Service: p.Table, Limiter: rate.NewLimiter(rate.Limit(s.Budget.WritesPerSecond), burst(s.Budget.WritesPerSecond))}
	b.Members = &member.Members{
		Self:   link.Entry{Name: s.Name, Hall: s.Hall, Listen: s.Listen, Link: s.LinkListen},
		Timing: s.Timing, List: p.List, Network: stamped{b}, Describe: b.describe, Heard: b.heard,
	}
	router := &upstream.Router{Hall: s.Hall, RetryShare: s.Limits.RetryShare, EjectShare: s.Limits.EjectShare}
	b.Intake = b.newIntake(router)
	b.Desk = &operator.Desk{
		Box: s.Name, Settings: s, Config: b.Config, Committer: b.Committer, Intake: b.Intake, Router: router,
		Members: b.Members, Network: stamped{b}, Recorder: b.Recorder, Keepers: b.Keepers, News: b.news,
	}
	b.API = &api.Server{
		Settings: s, Config: b.Config, Intake: b.Intake, Desk: b.Desk, Apply: b.apply, Timeline: b.timeline, Registry: b.Registry,
	}
	b.registerGauges()
	return b
}

// burst is the part of a second's budget that may be used at once.
func burst(perSecond int) int { return max(1, perSecond/10) }

func (b *Box) newIntake(router *upstream.Router) *intake.Intake {
	return &intake.Intake{
		Box: b.Settings.Name, Settings: b.Settings, Table: b.platform.Table, Committer: b.Committer, Objects: b.platform.Objects,
		Upstreams: b.platform.Upstreams, Router: router, Admission: &intake.Admission{Most: b.Settings.Limits.InFlight},
		Config: b.Config, Recorder: b.Recorder, Log: b.Log, Loads: b.loads, News: b.news, Alive: b.Members.Alive,
		Sweeps:  func() bool { return b.Members.PreferredFor("open").Name == b.Settings.Name },
		Metrics: b.intakeMetrics(), Slept: awake.Slept,
	}
}

// Run serves callers on the listener until planned is closed and the box has left as planned, or until ctx ends: then
// it leaves at once, which is what a crash looks like.
func (b *Box) Run(ctx context.Context, planned <-chan struct{}, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: b.API.Handler(), ReadHeaderTimeout: readHeaderWithin, ErrorLog: zap.NewStdLog(b.Log)}
	b.start(ctx)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	b.Log.Info("box: serving", zap.String("box", b.Settings.Name), zap.String("listen", listener.Addr().String()))
	select {
	case <-ctx.Done():
	case <-planned:
		b.leave(ctx, server)
	case err := <-failed:
		return errors.Wrap(err, "box: unable to serve")
	}
	cancel()
	_ = server.Close() // Nothing is left to save.
	b.group.Wait()
	return nil
}

// start runs the parts in the background.
func (b *Box) start(ctx context.Context) {
	b.ctx = ctx
	b.group.Go(func() { b.Committer.Run(ctx) })
	b.group.Go(func() { b.Members.Run(ctx) })
	b.group.Go(func() { b.Intake.Run(ctx) })
	b.group.Go(func() { interval.Every(ctx, b.Settings.Timing.Refresh, b.refresh) })
	b.API.SetReady(true)
}

// refresh looks for new configurations and orders and shares out the table's budget among the boxes alive.
func (b *Box) refresh(ctx context.Context) {
	if err := b.Config.Refresh(ctx); err != nil {
		b.Log.Debug("config: " + err.Error())
	}
	b.share()
}

// share sets this box's part of the budget of the table and of the upstreams' connections.
func (b *Box) share() {
	boxes := b.Members.Count()
	b.Committer.Limiter.SetLimit(rate.Limit(float64(b.Settings.Budget.WritesPerSecond) / float64(boxes)))
	b.reads.SetLimit(rate.Limit(float64(b.Settings.Budget.ReadsPerSecond) / float64(boxes)))
	if site := b.Config.Site(); site != nil {
		orders := b.Config.Orders()
		b.Intake.Router.Update(site.Upstreams, func(name string) bool { return orders.Drained("upstream", name) }, boxes)
	}
}

// configChanged takes in what came into force: halls get keepers, upstreams their limits.
func (b *Box) configChanged(text string) {
	site, orders := b.Config.Versions()
	b.Log.Info("config: "+text, zap.Int64("site_version", site), zap.Int64("orders_version", orders))
	b.Recorder.Add(timeline.Event{Part: "config", Text: text})
	b.share()
	for _, h := range b.Config.Site().Halls {
		b.keeper(h.Name)
	}
}

// keeper returns the keeper of a hall and starts it where it is new.
func (b *Box) keeper(name string) *hall.Keeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.keepers[name]; k != nil {
		return k
	}
	k := &hall.Keeper{
		Hall: name, Settings: b.Settings, Committer: b.Committer, Book: &hall.Book{Hall: name, Table: b.platform.Table},
		Workers: b.platform.Workers, Objects: b.platform.Objects, Config: b.Config, Recorder: b.Recorder, Log: b.Log,
		Policy:    decider.Pulleyring{},
		Preferred: func() bool { return b.Members.Preferred(name).Name == b.Settings.Name },
		Loads:     b.loads, Settled: b.settled, News: b.news, Metrics: b.hallMetrics(),
	}
	b.keepers[name] = k
	b.order = append(b.order, name)
	b.group.Go(func() { k.Run(b.ctx) })
	return k
}

// Keepers returns the keepers of all halls.
func (b *Box) Keepers() []*hall.Keeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*hall.Keeper, len(b.order))
	for i, name := range b.order {
		list[i] = b.keepers[name]
	}
	return list
}

// apply commits a configuration in place of version base, or of the one in force where base is negative.
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
		_ = b.Config.Refresh(ctx) // Only to name the version.
		current, _ = b.Config.Versions()
		return 0, &api.ConflictError{Version: current}
	}
	if err != nil {
		return 0, errors.Wrap(err, "box: whether the configuration was committed is not known; ask show settings")
	}
	if err := b.Config.Refresh(ctx); err == nil {
		b.news(config.Prefix)
	}
	return version, nil
}

// leave tells the balancer, waits until it has noticed, hands the halls over, and lets everything in flight end.
func (b *Box) leave(ctx context.Context, server *http.Server) {
	b.Log.Info("box: leaving as planned")
	b.Recorder.Add(timeline.Event{Part: "box", Text: "leaves as planned"})
	b.API.SetReady(false)
	b.Members.Leave()
	interval.Sleep(ctx, b.Settings.Timing.BalancerDelay)
	b.API.Leave()
	ctx, cancel := context.WithTimeout(ctx, b.Settings.Timing.StopWithin)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.Log.Warn("box: some requests were still in flight: " + err.Error())
	}
	b.drain(ctx)
}

// drain waits until nothing of this box is under way.
func (b *Box) drain(ctx context.Context) {
	for !b.quiet() {
		if !interval.Sleep(ctx, 20*time.Millisecond) {
			b.Log.Warn("box: left with work under way")
			return
		}
	}
}

func (b *Box) quiet() bool {
	if b.Committer.Waiting() > 0 || b.Intake.Unrecorded() > 0 || b.Intake.Admission.InFlight() > 0 {
		return false
	}
	for _, k := range b.Keepers() {
		if k.Busy() > 0 {
			return false
		}
	}
	return true
}
