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

// Rates of the burst and timeouts of its callers.
const (
	smallPerSecond = 60.0 // All callers together.
	gangsPerSecond = 6.0
	callTimeout    = 5 * time.Second
	outcomeSeconds = 45 // Time after which a caller stops asking for an outcome.
)

// load runs the callers and records what they send and receive.
type load struct {
	demo   *demo
	length time.Duration
	kinds  [3]string // The site's names of its three kinds of work: small, medium, large.

	group      sync.WaitGroup
	mu         sync.Mutex
	exchanges  []*judge.RequestHistory
	lastErrors map[request.Identity]error

	reclaimed, notReclaimed int
}

func newLoad(d *demo, length time.Duration) *load {
	l := &load{demo: d, length: length, lastErrors: map[request.Identity]error{}, kinds: [3]string{"single_pull", "subscriber_trace", "tower_dump"}}
	if d.Site == "yeongdong" {
		l.kinds = [3]string{"picking_tally", "sugar_reconciliation", "season_summary"}
	}
	return l
}

// run starts two streams of requests for each caller: small requests and gangs.
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

// stream sends requests of one caller until the burst ends, at random intervals with a mean rate.
func (l *load) stream(ctx context.Context, c contract.Caller, random *rand.Rand, perSecond float64, next func(*rand.Rand, contract.Caller) request.Submission) {
	client := l.demo.client(c.Name)
	for i := 0; time.Since(l.demo.startedAt) < l.length; i++ {
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

// payload returns a payload with a run time. Its nonce differs for each request, so that an answer to another request
// is detected.
func payload(random *rand.Rand, length time.Duration) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"work_ms":%d,"nonce":%d}`, length.Milliseconds(), random.Uint64()))
}

func (l *load) small(random *rand.Rand, c contract.Caller) request.Submission {
	return request.Submission{
		Kind: l.kinds[0], Workspace: c.Workspaces[0], DeclaredSeconds: 1, AtMostOnce: random.IntN(4) == 0,
		Payload: payload(random, time.Duration(5+random.IntN(120))*time.Millisecond),
	}
}

func (l *load) gang(random *rand.Rand, c contract.Caller) request.Submission {
	s := request.Submission{
		Kind: l.kinds[1], Workspace: c.Workspaces[0], Gang: 1 + random.IntN(4), Shape: contract.Shape{CPUs: 4, MemoryGB: 16, Accelerators: 1},
		AtMostOnce: random.IntN(5) == 0, Checkpoints: random.IntN(2) == 0, Urgent: random.IntN(10) == 0,
	}
	length := time.Duration(300+random.IntN(2500)) * time.Millisecond
	if random.IntN(6) == 0 {
		s.Kind, s.Gang = l.kinds[2], []int{8, 16, 24, 32}[random.IntN(4)]
		length = time.Duration(1500+random.IntN(2500)) * time.Millisecond
	}
	s.DeclaredSeconds = length.Seconds() * []float64{0.1, 1, 10}[random.IntN(3)]
	s.Payload = payload(random, length)
	return s
}

// settle sends a request, asks until its outcome is final and records the reply.
func (l *load) settle(ctx context.Context, client *caller.Client, id request.Identity, s request.Submission) {
	t := &judge.RequestHistory{Identity: id, Submission: s}
	l.mu.Lock()
	l.exchanges = append(l.exchanges, t)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, outcomeSeconds*time.Second)
	defer cancel()
	reply, err := client.Settle(ctx, id.ID, s, callTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lastErrors[id] = err
		return
	}
	t.Replies = append(t.Replies, reply)
}

// reclaim sends an operator's command to reclaim a workspace's guarantee. Then the workspace's caller submits one
// gang for each block of the guarantee.
func (l *load) reclaim(ctx context.Context) {
	w := l.demo.config.Workspaces[1]
	c := l.demo.config.Callers[1]
	body, _ := json.Marshal(struct { // A string always encodes.
		Command string `json:"command"`
	}{"reclaim " + w.Name + " for 20s"})
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := l.demo.operator.Operate(callCtx, http.MethodPost, "/v1/ask", nil, body); err != nil {
		l.demo.printf("the reclaim was refused: %v", err)
		l.notReclaimed++
		return
	}
	l.demo.printf("workspace %s reclaims its %d accelerators", w.Name, w.Guaranteed())
	client := l.demo.client(c.Name)
	random := rand.New(rand.NewPCG(l.demo.Seed, 999))
	for i := range w.Blocks {
		s := request.Submission{
			Kind: l.kinds[2], Workspace: w.Name, Gang: w.BlockAccelerators, Shape: contract.Shape{CPUs: 4, MemoryGB: 16, Accelerators: 1},
			DeclaredSeconds: 2, Payload: payload(random, 1500*time.Millisecond),
		}
		id := request.Identity{Caller: c.Name, ID: fmt.Sprintf("claim%d", i)}
		l.group.Go(func() { l.claimBlock(ctx, client, id, s) })
	}
}

// claimBlock submits a gang for one block of a reclaimed guarantee and counts whether it ran within ReclaimSeconds.
func (l *load) claimBlock(ctx context.Context, client *caller.Client, id request.Identity, s request.Submission) {
	submittedAt := time.Now()
	l.settle(ctx, client, id, s)
	began, ran := l.firstRun(id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if ran && began.Sub(submittedAt) <= time.Duration(l.demo.config.ReclaimSeconds)*time.Second {
		l.reclaimed++
		return
	}
	l.notReclaimed++
}

// firstRun returns the time at which a request first ran and whether it ran, from the workers' records.
func (l *load) firstRun(id request.Identity) (time.Time, bool) {
	for _, r := range l.demo.platform.Workers.Runs() {
		if r.Identity == id {
			return r.Began, true
		}
	}
	return time.Time{}, false
}

// counts returns the number of requests so far and of those that are settled.
func (l *load) counts() (requests, settled int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.exchanges {
		if t.Settled() {
			settled++
		}
	}
	return len(l.exchanges), settled
}

// wait waits until all requests have ended, but at most until the timeout.
func (l *load) wait(timeout time.Duration) {
	done := make(chan struct{})
	go func() { l.group.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// judge compares the replies that the callers received with the records of the stand-ins.
func (l *load) judge() *judge.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := judge.Evaluate(l.exchanges, l.demo.platform.Records())
	j.InterruptedCalls = l.demo.balancer.Cut()
	j.GuaranteesReclaimed, j.GuaranteesRefused = l.reclaimed, l.notReclaimed
	for _, t := range l.exchanges {
		if !t.Settled() {
			l.demo.printf("open: %s gang %d once %t: %s %v", t.Identity, t.Submission.Gang, t.Submission.AtMostOnce, t.LastReply().Reason, l.lastErrors[t.Identity])
			l.demo.fleet.printJob(l.demo, t.Identity.String())
		}
	}
	return j
}
