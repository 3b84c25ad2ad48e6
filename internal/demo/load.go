package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/judge"
	"github.com/pulleyring/pulleyring/pkg/caller"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// Rates and sizes of the burst.
const (
	smallPerSecond = 60.0 // Of all callers together.
	gangsPerSecond = 6.0
	callWait       = 5 * time.Second
	askSeconds     = 45 // How long a caller goes on asking.
)

// load is the callers.
type load struct {
	demo   *demo
	length time.Duration
	names  [3]string // The site's own words for its three kinds: small, middle, large.

	group sync.WaitGroup
	mu    sync.Mutex
	told  []*judge.Told
	errs  map[request.Identity]error

	reclaimed, refused int
}

func newLoad(d *demo, length time.Duration) *load {
	l := &load{demo: d, length: length, errs: map[request.Identity]error{}, names: [3]string{"single_pull", "subscriber_trace", "tower_dump"}}
	if d.Site == "yeongdong" {
		l.names = [3]string{"picking_tally", "sugar_reconciliation", "season_summary"}
	}
	return l
}

// run lets every caller send its part of the burst.
func (l *load) run(ctx context.Context) {
	callers := l.demo.config.Callers
	for i, c := range callers {
		random := rand.New(rand.NewPCG(l.demo.Seed, uint64(i)))
		share := float64(len(callers))
		l.group.Go(func() { l.stream(ctx, c, random, smallPerSecond/share, l.small) })
		random = rand.New(rand.NewPCG(l.demo.Seed, uint64(i)+100))
		l.group.Go(func() { l.stream(ctx, c, random, gangsPerSecond/share, l.gang) })
	}
}

// stream sends requests of one caller at a mean rate until the burst is over.
func (l *load) stream(ctx context.Context, c contract.Caller, random *rand.Rand, perSecond float64, next func(*rand.Rand, contract.Caller) request.Submission) {
	client := l.demo.client(c.Name)
	for i := 0; time.Since(l.demo.began) < l.length; i++ {
		s := next(random, c)
		prefix := "s"
		if s.Gang > 0 {
			prefix = "g"
		}
		id := request.Identity{Caller: c.Name, ID: fmt.Sprintf("%s%d", prefix, i)}
		l.group.Go(func() { l.settle(ctx, client, id, s) })
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))):
		}
	}
}

// payload returns work of a length, made different for each request so that a wrong answer shows.
func payload(random *rand.Rand, length time.Duration) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"nonce":%d}`, length.Milliseconds(), random.Uint64()))
}

func (l *load) small(random *rand.Rand, c contract.Caller) request.Submission {
	return request.Submission{
		Kind: l.names[0], Workspace: c.Workspaces[0], DeclaredSeconds: 1, AtMostOnce: random.IntN(4) == 0,
		Payload: payload(random, time.Duration(5+random.IntN(120))*time.Millisecond),
	}
}

func (l *load) gang(random *rand.Rand, c contract.Caller) request.Submission {
	s := request.Submission{
		Kind: l.names[1], Workspace: c.Workspaces[0], Gang: 1 + random.IntN(4), Shape: contract.Shape{CPUs: 4, MemoryGB: 16, Accelerators: 1},
		AtMostOnce: random.IntN(5) == 0, Checkpoints: random.IntN(2) == 0, Urgent: random.IntN(10) == 0,
	}
	length := time.Duration(300+random.IntN(2500)) * time.Millisecond
	if random.IntN(6) == 0 {
		s.Kind, s.Gang = l.names[2], []int{8, 16, 24, 32}[random.IntN(4)]
		length = time.Duration(1500+random.IntN(2500)) * time.Millisecond
	}
	s.DeclaredSeconds = length.Seconds() * []float64{0.1, 1, 10}[random.IntN(3)]
	s.Payload = payload(random, length)
	return s
}

// settle sends a request and asks until its outcome is final, and keeps what the caller was told.
func (l *load) settle(ctx context.Context, client *caller.Client, id request.Identity, s request.Submission) {
	t := &judge.Told{Identity: id, Submission: s}
	l.mu.Lock()
	l.told = append(l.told, t)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askSeconds*time.Second)
	defer cancel()
	reply, err := client.Settle(ctx, id.ID, s, callWait)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.errs[id] = err
		return
	}
	t.Replies = append(t.Replies, reply)
}

// reclaim lets an operator claim a workspace's guarantee and the workspace's caller use all of it: block by block.
func (l *load) reclaim(ctx context.Context) {
	w := l.demo.config.Workspaces[1]
	c := l.demo.config.Callers[1]
	body, _ := json.Marshal(struct { // A string always encodes.
		Command string `json:"command"`
	}{"reclaim " + w.Name + " for 20s"})
	within, cancel := context.WithTimeout(ctx, callWait)
	defer cancel()
	if _, err := l.demo.operator.Operate(within, http.MethodPost, "/v1/ask", nil, body); err != nil {
		l.demo.say("the reclaim was refused: %v", err)
		l.refused++
		return
	}
	l.demo.say("workspace %s reclaims its %d accelerators", w.Name, w.Guaranteed())
	client := l.demo.client(c.Name)
	random := rand.New(rand.NewPCG(l.demo.Seed, 999))
	for i := range w.Blocks {
		s := request.Submission{
			Kind: l.names[2], Workspace: w.Name, Gang: w.BlockAccelerators, Shape: contract.Shape{CPUs: 4, MemoryGB: 16, Accelerators: 1},
			DeclaredSeconds: 2, Payload: payload(random, 1500*time.Millisecond),
		}
		id := request.Identity{Caller: c.Name, ID: fmt.Sprintf("claim%d", i)}
		l.group.Go(func() { l.claimBlock(ctx, client, id, s) })
	}
}

// claimBlock runs one block of a reclaimed guarantee and counts whether it came back within the bound.
func (l *load) claimBlock(ctx context.Context, client *caller.Client, id request.Identity, s request.Submission) {
	asked := time.Now()
	l.settle(ctx, client, id, s)
	began, ran := l.firstRun(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if ran && began.Sub(asked) <= time.Duration(l.demo.config.ReclaimSeconds)*time.Second {
		l.reclaimed++
		return
	}
	l.refused++
}

// firstRun returns when a request first ran, by the workers' own records.
func (l *load) firstRun(id request.Identity) (time.Time, bool) {
	for _, r := range l.demo.platform.Workers.Runs() {
		if r.Identity == id {
			return r.Began, true
		}
	}
	return time.Time{}, false
}

// counts returns the requests so far and those that are settled.
func (l *load) counts() (requests, settled int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.told {
		if t.Settled() {
			settled++
		}
	}
	return len(l.told), settled
}

// wait waits until every caller has its outcome, at most for a time.
func (l *load) wait(most time.Duration) {
	done := make(chan struct{})
	go func() { l.group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(most):
	}
}

// judge compares what the callers were told with the records of the stand-ins.
func (l *load) judge() *judge.Judgement {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := judge.Judge(l.told, l.demo.platform.Records())
	j.CutInFlight = l.demo.balancer.Cut()
	j.GuaranteesReclaimed, j.GuaranteesRefused = l.reclaimed, l.refused
	for _, t := range l.told {
		if !t.Settled() {
			l.demo.say("open: %s gang %d once %t: %s %v", t.Identity, t.Submission.Gang, t.Submission.AtMostOnce, t.Last().Reason, l.errs[t.Identity])
			l.demo.fleet.explain(l.demo, t.Identity.String())
		}
	}
	return j
}
