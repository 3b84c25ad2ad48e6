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
	metrics.UseNilMetrics = true // Real meters keep a goroutine, which would outlive the synctest bubble.
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1") // Every run uses the same cases unless a seed is given.
	}
	os.Exit(m.Run())
}

// gate controls the outgoing messages of a box. While it is frozen, messages are delayed, and are sent later even if
// the box no longer waits for them. Once it is dead, no message is sent.
type gate struct {
	mu                sync.Mutex
	unfrozen          chan struct{} // Closed when the box thaws; nil unless it is frozen.
	dead              bool
	freezeAt          worker.Verb // The first step of this kind freezes the box.
	disconnectAt      worker.Verb // The first step of this kind at the worker disconnectWorker disconnects that worker.
	disconnectWorker  string
	disconnected      map[string]bool // Workers that the box can't reach.
	tableDisconnected bool            // The box can't reach the table.
	brokenRules       safetyRules
}

// errWorkerDisconnected is returned for calls to a worker that the box can't reach.
var errWorkerDisconnected = fmt.Errorf("box: worker is disconnected")

// passStep applies the gate to a step at a worker: it starts the freeze or disconnection set for this step, fails if
// the worker is disconnected, and waits while the box is frozen. The check and the freeze share one lock, because a
// box sends a step to several workers concurrently and none of these messages may be sent in between.
func (g *gate) passStep(name string, v worker.Verb) error {
	g.mu.Lock()
	if g.freezeAt != "" && g.freezeAt == v {
		g.freezeAt = ""
		g.freezeLocked()
	}
	if g.disconnectAt == v && g.disconnectWorker == name {
		g.disconnected = map[string]bool{name: true}
	}
	cut := g.disconnected[name]
	g.mu.Unlock()
	if cut {
		return errWorkerDisconnected
	}
	return g.pass()
}

// safetyRules selects the safety rules that a test breaks to show that the scripts detect it. Each field names the
// broken behavior; the numbers are those of the rules in the design.
type safetyRules struct {
	acceptBeforeCommit  bool // 1: a request is reported as accepted before its row is committed.
	noReadBack          bool // 2: a commit whose answer was lost is treated as not done.
	useExpiredHolds     bool // 3: attempts start although their hold has expired.
	ignoreStops         bool // 4: a stopped attempt starts nevertheless.
	repeatAtMostOnce    bool // 5: at-most-once requests are sent again although the first attempt may have run.
	skipAnswerMatch     bool // 6: answers are not checked against their request.
	revertConfiguration bool // 7: an older configuration replaces a newer one.
}

// errKilled is returned for calls of a box that is dead.
var errKilled = fmt.Errorf("box: box was killed")

// pass waits while the box is frozen and fails if it is dead.
func (g *gate) pass() error {
	g.mu.Lock()
	thaw := g.unfrozen
	g.mu.Unlock()
	if thaw != nil {
		<-thaw
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return errKilled
	}
	return nil
}

// tableIsDisconnected reports whether the box can't reach the table.
func (g *gate) tableIsDisconnected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tableDisconnected
}

// set changes the gate under its lock.
func (g *gate) set(change func(g *gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

func (g *gate) disconnect(worker string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.disconnected == nil {
		g.disconnected = map[string]bool{}
	}
	g.disconnected[worker] = true
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.freezeLocked()
}

// freezeLocked freezes the gate, so that pass waits. The caller holds g.mu.
func (g *gate) freezeLocked() {
	if g.unfrozen == nil {
		g.unfrozen = make(chan struct{})
	}
}

func (g *gate) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unfrozen != nil {
		close(g.unfrozen)
		g.unfrozen = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.unfreeze()
}

// gatedTable sends a box's calls to the table through its gate. A call that was begun is completed even if the box no
// longer waits for it.
type gatedTable struct {
	*gate
	table.Service
}

func (t gatedTable) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if t.pass() != nil || t.tableIsDisconnected() {
		return 0, table.ErrUnknown
	}
	if t.brokenRules.acceptBeforeCommit && acceptsGang(txn) {
		return 1, nil
	}
	revision, err := t.Service.Commit(context.WithoutCancel(ctx), txn)
	if t.brokenRules.noReadBack && err != nil && !isConflict(err) {
		return 0, table.ErrUnavailable
	}
	return revision, err
}

// acceptsGang reports whether a transaction records the acceptance of a gang.
func acceptsGang(txn table.Txn) bool {
	return len(txn.Writes) == 2 && strings.HasPrefix(txn.Writes[0].Key, "request/") && strings.HasPrefix(txn.Writes[1].Key, "hall/") && txn.Checks[0].Version == 0
}

func isConflict(err error) bool {
	_, ok := err.(*table.Conflict)
	return ok
}

func (t gatedTable) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	if t.pass() != nil || t.tableIsDisconnected() {
		return nil, table.ErrUnavailable
	}
	return t.Service.Read(ctx, keys)
}

func (t gatedTable) Changes(ctx context.Context, prefix string, after int64, limit int) ([]table.Row, int64, error) {
	if t.pass() != nil || t.tableIsDisconnected() {
		return nil, 0, table.ErrUnavailable
	}
	return t.Service.Changes(ctx, prefix, after, limit)
}

type gatedWorkers struct {
	*gate
	worker.Service
}

func (w gatedWorkers) Hold(ctx context.Context, at contract.Worker, o worker.Order) error {
	if err := w.passStep(at.Name, "hold"); err != nil {
		return err
	}
	return w.Service.Hold(context.WithoutCancel(ctx), at, o)
}

func (w gatedWorkers) Step(ctx context.Context, at contract.Worker, v worker.Verb, attempt string, lease time.Duration) (worker.Task, error) {
	if err := w.passStep(at.Name, v); err != nil {
		return worker.Task{}, err
	}
	return w.Service.Step(context.WithoutCancel(ctx), at, v, attempt, lease)
}

func (w gatedWorkers) Renew(ctx context.Context, at contract.Worker, r worker.Renewal) (worker.Report, error) {
	if err := w.passStep(at.Name, "renew"); err != nil {
		return worker.Report{}, err
	}
	return w.Service.Renew(context.WithoutCancel(ctx), at, r)
}

type gatedUpstreams struct {
	*gate
	upstream.Service
	previousAnswer *previousAnswer
}

func (u gatedUpstreams) Run(ctx context.Context, at contract.Upstream, c upstream.Call) (upstream.Answer, error) {
	if err := u.pass(); err != nil {
		return upstream.Answer{}, err
	}
	answer, err := u.Service.Run(context.WithoutCancel(ctx), at, c)
	if passErr := u.pass(); passErr != nil {
		return upstream.Answer{}, passErr
	}
	if u.brokenRules.repeatAtMostOnce && err != nil {
		err = upstream.ErrNotRun
	}
	if at.Name == "exec-3" { // Returns its previous answer, like answers that arrive late and out of order.
		answer = u.previousAnswer.swap(answer)
		if u.brokenRules.skipAnswerMatch {
			answer.Attempt, answer.Identity = c.Attempt, c.Identity
		}
	}
	return answer, err
}

// previousAnswer holds the previous answer of exec-3, the executor that confuses its answers.
type previousAnswer struct {
	mu     sync.Mutex
	answer upstream.Answer
}

// swap stores an answer and returns the previous one, or the same one if there was none.
func (e *previousAnswer) swap(answer upstream.Answer) upstream.Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.answer
	e.answer = answer
	if previous.Attempt == "" {
		return answer
	}
	return previous
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
	if n.brokenRules.revertConfiguration && err == nil && reply.Site != nil {
		altered := *reply.Site
		altered.Version += 1000
		altered.Text = strings.ReplaceAll(altered.Text, "completion_weight = 0.9", "completion_weight = 0.1")
		reply.Site = &altered
	}
	return reply, err
}

// runningBox is one box of a testSite, with its gate.
type runningBox struct {
	*Box
	gate   *gate
	stop   context.CancelFunc
	killed chan struct{} // Closed when the box is killed.
}

// testSite is a test site: several boxes and the simulated platform in one synctest bubble.
type testSite struct {
	c              *qt.C
	ctx            context.Context
	platform       *standin.Platform
	network        link.Switch
	site           string
	brokenRules    safetyRules
	previousAnswer previousAnswer

	mu        sync.Mutex
	boxes     map[string]*runningBox
	liveBoxes []string
	callers   []*judge.RequestHistory
	calls     sync.WaitGroup
}

func newTestSite(ctx context.Context, c *qt.C, seed uint64) *testSite {
	ts := &testSite{c: c, ctx: ctx, platform: standin.NewPlatform(seed, 0, 0, 0), boxes: map[string]*runningBox{}}
	raw, err := os.ReadFile("testdata/site.ini")
	c.Assert(err, qt.IsNil)
	ts.site = string(raw)
	return ts
}

// add starts a box in a hall.
func (ts *testSite) add(name, hall string) *runningBox {
	s := settings.Defaults()
	s.Name, s.Hall, s.Listen, s.LinkListen = name, hall, name, name
	s.Lease.Hold, s.Lease.Run, s.Lease.Renew = 2*time.Second, 4*time.Second, 400*time.Millisecond
	s.Lease.Unchecked = 70 * time.Second // Longer than the outages of the scripts.
	s.Timing.BalancerDelay = 500 * time.Millisecond
	g := &gate{brokenRules: ts.brokenRules}
	b := New(&s, Platform{
		Table: gatedTable{g, ts.platform.Table}, Objects: ts.platform.Objects, List: ts.platform.LiveList,
		Workers: gatedWorkers{g, ts.platform.Workers}, Upstreams: gatedUpstreams{g, ts.platform.Executors, &ts.previousAnswer},
		Network: gatedNetwork{g, link.Port{Owner: name, Switch: &ts.network}},
	}, zap.NewNop())
	ctx, stop := context.WithCancel(ts.ctx)
	a := &runningBox{Box: b, gate: g, stop: stop, killed: make(chan struct{})}
	ts.network.Connect(name, func(ctx context.Context, from string, m *link.Message) *link.Reply {
		if g.pass() != nil {
			return &link.Reply{}
		}
		return b.Handle(ctx, from, m)
	})
	b.start(ctx)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.boxes[name] = a
	ts.liveBoxes = append(ts.liveBoxes, name)
	return a
}

// kill stops a box abruptly, like a crash.
func (ts *testSite) kill(name string) {
	b := ts.boxes[name]
	ts.network.SetDisconnected(name, true)
	b.gate.kill()
	b.stop()
	close(b.killed)
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for i, n := range ts.liveBoxes {
		if n == name {
			ts.liveBoxes = append(ts.liveBoxes[:i:i], ts.liveBoxes[i+1:]...)
		}
	}
}

// apply applies the site's configuration through the named box.
func (ts *testSite) apply(name string) error {
	_, err := ts.boxes[name].apply(ts.ctx, ts.site, -1)
	return err
}

// box returns the n-th live box, modulo their number, or nil if there is none.
func (ts *testSite) box(n int) *runningBox {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if len(ts.liveBoxes) == 0 {
		return nil
	}
	return ts.boxes[ts.liveBoxes[n%len(ts.liveBoxes)]]
}

// submit starts a caller that submits a request and polls until it is settled or the timeout has passed. It calls
// the boxes in turn, beginning with number first.
func (ts *testSite) submit(id request.Identity, submission request.Submission, firstBox int, timeout time.Duration) {
	caller := &judge.RequestHistory{Identity: id, Submission: submission}
	ts.mu.Lock()
	ts.callers = append(ts.callers, caller)
	ts.mu.Unlock()
	ts.calls.Go(func() {
		end := time.Now().Add(timeout)
		for n := 0; time.Now().Before(end); n++ {
			reply, answered := ts.call(ts.box(firstBox+n), func(ctx context.Context, b *runningBox) (request.Reply, error) {
				if ts.lastReply(caller).Outcome != "" {
					reply, err := b.Intake.Ask(ctx, id)
					if err == nil {
						return reply, nil
					}
				}
				return b.Intake.Submit(ctx, intake.Request{Identity: id, Round: n + 1, Received: time.Now(), Submission: submission}), nil
			})
			if answered {
				ts.mu.Lock()
				caller.Replies = append(caller.Replies, reply)
				ts.mu.Unlock()
				if reply.Outcome.Final() {
					return
				}
			}
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// callTimeout is the timeout of one call to a box.
const callTimeout = 3 * time.Second

// call makes one call to a box and reports whether it was answered. It is not answered if the box dies, stays
// frozen, or returns an error, for example because it does not know the request.
func (ts *testSite) call(b *runningBox, send func(ctx context.Context, b *runningBox) (request.Reply, error)) (request.Reply, bool) {
	if b == nil || b.Config.Site() == nil {
		return request.Reply{}, false
	}
	type answer struct {
		reply request.Reply
		err   error
	}
	answers := make(chan answer, 1)
	ctx, cancel := context.WithTimeout(ts.ctx, callTimeout)
	defer cancel()
	go func() {
		reply, err := send(ctx, b)
		if b.gate.pass() == nil {
			answers <- answer{reply, err}
		}
	}()
	timedOut, stop := interval.After(callTimeout + 500*time.Millisecond)
	defer stop()
	select {
	case got := <-answers:
		return got.reply, got.err == nil
	case <-b.killed:
	case <-timedOut:
	}
	return request.Reply{}, false
}

// close kills every box and waits until the goroutines of the bubble have ended.
func (ts *testSite) close(cancel context.CancelFunc) {
	for _, name := range append([]string(nil), ts.liveBoxes...) {
		ts.kill(name)
	}
	cancel()
	for _, b := range ts.boxes {
		b.background.Wait()
	}
	time.Sleep(maxCallTime) // By then all calls of the boxes have timed out.
}

// maxCallTime is longer than the timeout of any call that a box makes.
const maxCallTime = 2 * time.Minute

// lastReply returns the last reply that a caller received.
func (ts *testSite) lastReply(caller *judge.RequestHistory) request.Reply {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return caller.LastReply()
}

// judge polls every request once more through every live box and then checks the replies and runs against the safety
// guarantees. Callers without an outcome keep polling meanwhile.
func (ts *testSite) judge() *judge.Report {
	for _, name := range ts.liveBoxes {
		b := ts.boxes[name]
		for _, caller := range ts.callers {
			reply, err := b.Intake.Ask(ts.ctx, caller.Identity)
			ts.mu.Lock()
			if err == nil && (reply.Outcome.Final() || !caller.Settled()) {
				caller.Replies = append(caller.Replies, reply)
			}
			ts.mu.Unlock()
		}
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return judge.Evaluate(ts.callers, ts.platform.Records())
}

// payload returns a payload that runs for the given time and is unique to the request.
func payload(id request.Identity, workTime time.Duration) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"for":%q}`, workTime.Milliseconds(), id))
}

// ready reports whether every live box has a configuration and every hall has a box that decides for it.
func (ts *testSite) ready() bool {
	halls := map[string]bool{}
	for _, name := range ts.liveBoxes {
		b := ts.boxes[name]
		version, _ := b.Config.Versions()
		if version == 0 {
			return false
		}
		for _, k := range b.Keepers() {
			if load, on := k.Load(); on && load.Capacity > 0 {
				halls[k.Hall] = true
			}
		}
	}
	site, _ := parseSite(ts.site)
	return len(halls) == len(site.Halls)
}
