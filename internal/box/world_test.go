package box

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/intake"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/judge"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/internal/worker"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

func TestMain(m *testing.M) {
	metrics.UseNilMetrics = true // Its meters keep a goroutine that would outlive a bubble.
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1") // The same cases in every run, unless another seed is asked for.
	}
	os.Exit(m.Run())
}

// gate stands between a box and the rest of the world. While it is frozen everything the box sends waits and is sent
// late, even where the box has given up waiting; once it is dead nothing leaves any more.
type gate struct {
	mu       sync.Mutex
	thaw     chan struct{}
	dead     bool
	freezeAt worker.Verb // The first step of this kind freezes the box.
	cutAt    worker.Verb // The first step of this kind at the worker cutName cuts that worker off.
	cutName  string
	cut      map[string]bool // Workers that the box can't reach.
	tableCut bool            // The box can't reach the table.
	broken   rules
}

// errCut says that the box can't reach a worker.
var errCut = fmt.Errorf("box: cut off from the worker")

// reach waits where the box is frozen, freezes it where it was to be at this step, and refuses a worker that is cut off.
// It freezes under the lock that finds the step: a box sends one kind of step to several workers at once, and none of them
// may slip out in between.
func (g *gate) reach(name string, v worker.Verb) error {
	g.mu.Lock()
	if g.freezeAt != "" && g.freezeAt == v {
		g.freezeAt = ""
		g.block()
	}
	if g.cutAt == v && g.cutName == name {
		g.cut = map[string]bool{name: true}
	}
	cut := g.cut[name]
	g.mu.Unlock()
	if cut {
		return errCut
	}
	return g.pass()
}

// rules are safety rules that a test takes away, to show that the scripts notice; by their numbers in the design.
type rules struct {
	tellFirst   bool // 1: accepted is told without a committed row.
	noReadBack  bool // 2: a commit whose answer was lost counts as not done.
	lapsedHolds bool // 3: attempts start without a live hold.
	forgetStops bool // 4: a stopped attempt starts all the same.
	repeatOnce  bool // 5: at-most-once requests are sent again after an ambiguity.
	mixAnswers  bool // 6: answers are not matched with their request.
	goBack      bool // 7: an older configuration replaces a newer one.
}

var errGate = fmt.Errorf("box: cut off")

func (g *gate) pass() error {
	g.mu.Lock()
	thaw := g.thaw
	g.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return errGate
	}
	return nil
}

// tableIsCut reports whether the box can't reach the table.
func (g *gate) tableIsCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tableCut
}

// set changes the gate under its lock.
func (g *gate) set(change func(g *gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

func (g *gate) cutOff(worker string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut == nil {
		g.cut = map[string]bool{}
	}
	g.cut[worker] = true
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.block()
}

// block makes pass wait; g.mu is held.
func (g *gate) block() {
	if g.thaw == nil {
		g.thaw = make(chan struct{})
	}
}

func (g *gate) melt() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thaw != nil {
		close(g.thaw)
		g.thaw = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.melt()
}

// gatedTable sends what was begun even where the box no longer waits for it.
type gatedTable struct {
	*gate
	table.Service
}

func (t gatedTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if t.pass() != nil || t.tableIsCut() {
		return 0, table.ErrUnknown
	}
	if t.broken.tellFirst && accepts(txn) {
		return 1, nil
	}
	revision, err := t.Service.Commit(context.WithoutCancel(ctx), txn)
	if t.broken.noReadBack && err != nil && !isConflict(err) {
		return 0, table.ErrUnavailable
	}
	return revision, err
}

// accepts reports whether a transaction accepts a gang.
func accepts(txn table.Txn) bool {
	return len(txn.Writes) == 2 && strings.HasPrefix(txn.Writes[0].Key, "request/") && strings.HasPrefix(txn.Writes[1].Key, "hall/") && txn.Checks[0].Version == 0
}

func isConflict(err error) bool {
	_, ok := err.(*table.Conflict)
	return ok
}

func (t gatedTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	if t.pass() != nil || t.tableIsCut() {
		return nil, table.ErrUnavailable
	}
	return t.Service.Read(ctx, keys)
}

func (t gatedTable) Changes(ctx context.Context, prefix string, after int64, limit int) ([]table.Row, int64, error) {
	if t.pass() != nil || t.tableIsCut() {
		return nil, 0, table.ErrUnavailable
	}
	return t.Service.Changes(ctx, prefix, after, limit)
}

type gatedWorkers struct {
	*gate
	worker.Service
}

func (w gatedWorkers) Hold(ctx context.Context, at contract.Worker, o worker.Order) error {
	if err := w.reach(at.Name, "hold"); err != nil {
		return err
	}
	return w.Service.Hold(context.WithoutCancel(ctx), at, o)
}

func (w gatedWorkers) Step(ctx context.Context, at contract.Worker, v worker.Verb, attempt string, lease time.Duration) (worker.Task, error) {
	if err := w.reach(at.Name, v); err != nil {
		return worker.Task{}, err
	}
	return w.Service.Step(context.WithoutCancel(ctx), at, v, attempt, lease)
}

func (w gatedWorkers) Renew(ctx context.Context, at contract.Worker, r worker.Renewal) (worker.Report, error) {
	if err := w.reach(at.Name, "renew"); err != nil {
		return worker.Report{}, err
	}
	return w.Service.Renew(context.WithoutCancel(ctx), at, r)
}

type gatedUpstreams struct {
	*gate
	upstream.Service
	earlier *earlier
}

func (u gatedUpstreams) Run(ctx context.Context, at contract.Upstream, c upstream.Call) (upstream.Answer, error) {
	if err := u.pass(); err != nil {
		return upstream.Answer{}, err
	}
	answer, err := u.Service.Run(context.WithoutCancel(ctx), at, c)
	if passErr := u.pass(); passErr != nil {
		return upstream.Answer{}, passErr
	}
	if u.broken.repeatOnce && err != nil {
		err = upstream.ErrNotRun
	}
	if at.Name == "exec-3" { // It answers with what it answered before, as where answers come late and out of order.
		answer = u.earlier.swap(answer)
		if u.broken.mixAnswers {
			answer.Attempt, answer.Identity = c.Attempt, c.Identity
		}
	}
	return answer, err
}

// earlier holds the last answer of the executor that mixes them up.
type earlier struct {
	mu     sync.Mutex
	answer upstream.Answer
}

// swap returns the answer before this one, or this one where there was none.
func (e *earlier) swap(answer upstream.Answer) upstream.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.answer
	e.answer = answer
	if before.Attempt == "" {
		return answer
	}
	return before
}

func (u gatedUpstreams) Fence(ctx context.Context, at contract.Upstream, attempt string, age time.Duration) (upstream.Fate, upstream.Answer, error) {
	if err := u.pass(); err != nil {
		return "", upstream.Answer{}, err
	}
	return u.Service.Fence(context.WithoutCancel(ctx), at, attempt, age)
}

type gatedNetwork struct {
	*gate
	link.Network
}

func (n gatedNetwork) Send(ctx context.Context, to link.Entry, m *link.Message) (*link.Reply, error) {
	if err := n.pass(); err != nil {
		return nil, err
	}
	reply, err := n.Network.Send(ctx, to, m)
	if n.broken.goBack && err == nil && reply.Site != nil {
		old := *reply.Site
		old.Version += 1000
		old.Text = strings.ReplaceAll(old.Text, "completion_weight = 0.9", "completion_weight = 0.1")
		reply.Site = &old
	}
	return reply, err
}

// actor is one box of a world.
type actor struct {
	*Box
	gate *gate
	stop context.CancelFunc
	gone chan struct{}
}

// world is several boxes and the stand-ins in one bubble.
type world struct {
	c        *qt.C
	ctx      context.Context
	platform *standin.Platform
	network  link.Switch
	site     string
	broken   rules
	earlier  earlier

	mu    sync.Mutex
	boxes map[string]*actor
	order []string
	told  []*judge.Told
	calls sync.WaitGroup
}

func newWorld(ctx context.Context, c *qt.C, seed uint64) *world {
	w := &world{c: c, ctx: ctx, platform: standin.NewPlatform(seed, 0, 0, 0), boxes: map[string]*actor{}}
	raw, err := os.ReadFile("testdata/site.ini")
	c.Assert(err, qt.IsNil)
	w.site = string(raw)
	return w
}

// add starts a box in a hall.
func (w *world) add(name, hall string) *actor {
	s := settings.Defaults()
	s.Name, s.Hall, s.Listen, s.LinkListen = name, hall, name, name
	s.Lease.Hold, s.Lease.Run, s.Lease.Renew = 2*time.Second, 4*time.Second, 400*time.Millisecond
	s.Lease.Unchecked = 70 * time.Second // Longer than the outages of the scripts.
	s.Timing.BalancerDelay = 500 * time.Millisecond
	g := &gate{broken: w.broken}
	b := New(&s, Platform{
		Table: gatedTable{g, w.platform.Table}, Objects: w.platform.Objects, List: w.platform.LiveList,
		Workers: gatedWorkers{g, w.platform.Workers}, Upstreams: gatedUpstreams{g, w.platform.Executors, &w.earlier},
		Network: gatedNetwork{g, link.Port{Owner: name, Switch: &w.network}},
	}, zap.NewNop())
	ctx, stop := context.WithCancel(w.ctx)
	a := &actor{Box: b, gate: g, stop: stop, gone: make(chan struct{})}
	w.network.Plug(name, func(ctx context.Context, from string, m *link.Message) *link.Reply {
		if g.pass() != nil {
			return &link.Reply{}
		}
		return b.Handle(ctx, from, m)
	})
	b.start(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boxes[name] = a
	w.order = append(w.order, name)
	return a
}

// kill ends a box without warning.
func (w *world) kill(name string) {
	a := w.boxes[name]
	w.network.Cut(name, true)
	a.gate.kill()
	a.stop()
	close(a.gone)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, n := range w.order {
		if n == name {
			w.order = append(w.order[:i:i], w.order[i+1:]...)
		}
	}
}

// apply puts the site in force through a box.
func (w *world) apply(name string) error {
	_, err := w.boxes[name].apply(w.ctx, w.site, -1)
	return err
}

// box returns the n-th live box, round and round.
func (w *world) box(n int) *actor {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.order) == 0 {
		return nil
	}
	return w.boxes[w.order[n%len(w.order)]]
}

// submit lets a caller submit a request and ask until it is settled, turning to other boxes where one does not answer.
func (w *world) submit(id request.Identity, s request.Submission, first int, patience time.Duration) {
	t := &judge.Told{Identity: id, Submission: s}
	w.mu.Lock()
	w.told = append(w.told, t)
	w.mu.Unlock()
	w.calls.Go(func() {
		end := time.Now().Add(patience)
		for n := 0; time.Now().Before(end); n++ {
			reply, answered := w.call(w.box(first+n), func(ctx context.Context, a *actor) (request.Reply, error) {
				if w.last(t).Outcome != "" {
					reply, err := a.Intake.Ask(ctx, id)
					if err == nil {
						return reply, nil
					}
				}
				return a.Intake.Submit(ctx, intake.Order{Identity: id, Round: n + 1, Received: time.Now(), Submission: s}), nil
			})
			if answered {
				w.mu.Lock()
				t.Replies = append(t.Replies, reply)
				w.mu.Unlock()
				if reply.Outcome.Final() {
					return
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// callTimeout is how long a caller waits for one answer of a box.
const callTimeout = 3 * time.Second

// call makes one call at a box; it is not answered where the box dies, freezes, or does not know the request.
func (w *world) call(a *actor, f func(ctx context.Context, a *actor) (request.Reply, error)) (request.Reply, bool) {
	if a == nil || a.Config.Site() == nil {
		return request.Reply{}, false
	}
	type answer struct {
		reply request.Reply
		err   error
	}
	c := make(chan answer, 1)
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	go func() {
		reply, err := f(ctx, a)
		if a.gate.pass() == nil {
			c <- answer{reply, err}
		}
	}()
	over, stop := interval.After(callTimeout + 500*time.Millisecond)
	defer stop()
	select {
	case got := <-c:
		return got.reply, got.err == nil
	case <-a.gone:
	case <-over:
	}
	return request.Reply{}, false
}

// close ends every box and lets the bubble's goroutines end.
func (w *world) close(cancel context.CancelFunc) {
	for _, name := range append([]string(nil), w.order...) {
		w.kill(name)
	}
	cancel()
	for _, a := range w.boxes {
		a.group.Wait()
	}
	time.Sleep(longestCall) // What the boxes had begun gives up by then.
}

// longestCall is longer than anything that a box begins.
const longestCall = 2 * time.Minute

// last is what a caller was told last.
func (w *world) last(t *judge.Told) request.Reply {
	w.mu.Lock()
	defer w.mu.Unlock()
	return t.Last()
}

// judge asks again for every request through every live box, and then counts. Callers that have no outcome yet go on asking
// meanwhile.
func (w *world) judge() *judge.Judgement {
	for _, name := range w.order {
		a := w.boxes[name]
		for _, t := range w.told {
			reply, err := a.Intake.Ask(w.ctx, t.Identity)
			w.mu.Lock()
			if err == nil && (reply.Outcome.Final() || !t.Settled()) {
				t.Replies = append(t.Replies, reply)
			}
			w.mu.Unlock()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return judge.Judge(w.told, w.platform.Records())
}

// work returns a payload of a length that no other request has.
func work(id request.Identity, length time.Duration) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"for":%q}`, length.Milliseconds(), id))
}

// inForce reports whether every live box has the configuration and every hall is decided for by one.
func (w *world) inForce() bool {
	halls := map[string]bool{}
	for _, name := range w.order {
		a := w.boxes[name]
		version, _ := a.Config.Versions()
		if version == 0 {
			return false
		}
		for _, k := range a.Keepers() {
			if load, on := k.Load(); on && load.Capacity > 0 {
				halls[k.Hall] = true
			}
		}
	}
	site, _ := parseSite(w.site)
	return len(halls) == len(site.Halls)
}
