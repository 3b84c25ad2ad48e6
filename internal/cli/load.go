package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pulleyring/pulleyring/internal/upstream"
	"github.com/pulleyring/pulleyring/internal/wire"
	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rs/xid"
)

// Range of the latency histogram in microseconds, and its precision in significant digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
	microsPerMilli    = 1000.0
)

// loadPhase holds the measurements of one phase of the load test.
type loadPhase struct {
	Requests  int64   `json:"requests"`
	Failed    int64   `json:"failed"` // Requests that were neither done nor reported as not run.
	NotRun    int64   `json:"not_run"`
	PerSecond float64 `json:"per_second"`
	P50MS     float64 `json:"p50_ms"`
	P99MS     float64 `json:"p99_ms"`
}

// loader sends small requests from several goroutines for a fixed time.
type loader struct {
	concurrency int
	duration    time.Duration
	interval    time.Duration // Interval of one goroutine's requests; 0 sends the next one as soon as the answer arrives.

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	phase     loadPhase
}

// run makes calls for the set time and returns the measurements. The function call sends one request and returns its
// outcome.
func (l *loader) run(call func(ctx context.Context, number int) request.Outcome) loadPhase {
	l.latencies = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	l.phase = loadPhase{}
	began := time.Now()
	var group sync.WaitGroup
	for worker := range l.concurrency {
		group.Go(func() {
			for i := worker; time.Since(began) < l.duration; i += l.concurrency {
				sent := time.Now()
				outcome := call(context.Background(), i)
				l.record(outcome, time.Since(sent))
				time.Sleep(l.interval - time.Since(sent))
			}
		})
	}
	group.Wait()
	l.phase.PerSecond = float64(l.phase.Requests) / time.Since(began).Seconds()
	l.phase.P50MS = float64(l.latencies.ValueAtQuantile(50)) / microsPerMilli
	l.phase.P99MS = float64(l.latencies.ValueAtQuantile(99)) / microsPerMilli
	return l.phase
}

func (l *loader) record(o request.Outcome, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase.Requests++
	switch o {
	case request.Done:
		// Fails only for latencies above a minute, and calls that slow count as failed elsewhere.
		_ = l.latencies.RecordValue(max(took.Microseconds(), minMicros))
	case request.NotRun:
		l.phase.NotRun++
	default:
		l.phase.Failed++
	}
}

func runLoad(e *env, args []string) int {
	set := e.flags("load")
	var a access
	a.add(set)
	l := &loader{}
	set.IntVar(&l.concurrency, "concurrency", 8, "`requests` in flight")
	set.DurationVar(&l.duration, "for", 5*time.Second, "`time` of each phase")
	set.DurationVar(&l.interval, "pace", 0, "`time` from one request to the next of each in flight; 0 sends as fast as answers come")
	workspace := set.String("workspace", "", "`workspace` of the requests")
	once := set.Bool("once", false, "mark them at most once")
	payload := set.String("payload", `{"work_ms":0}`, "`JSON` for the executor")
	direct := set.String("direct", "", "base `URL` of executors to call without a box first, for comparison")
	name := set.String("upstream", "", "`prefix` of the executors' names that -direct calls, such as ahd-hall-a-exec")
	count := set.Int("upstreams", 1, "`number` of executors that -direct calls")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 || l.concurrency < 1 || *workspace == "" || *count < 1 {
		return e.usageError("load", "-workspace is required and -concurrency is at least 1")
	}
	client, err := a.client()
	if err != nil {
		return e.fail(exitUsage, err)
	}
	result := struct {
		Direct *loadPhase `json:"direct,omitempty"`
		Box    loadPhase  `json:"box"`
	}{}
	if *direct != "" {
		phase := l.run(directCall(*direct, *name, *count, *payload))
		result.Direct = &phase
	}
	s := request.Submission{Kind: "load", Workspace: *workspace, AtMostOnce: *once, Payload: json.RawMessage(*payload)}
	run := xid.New().String()
	result.Box = l.run(func(ctx context.Context, number int) request.Outcome {
		reply, err := client.Submit(ctx, fmt.Sprintf("%s-%d", run, number), s, 0)
		if err != nil {
			return ""
		}
		return reply.Outcome
	})
	raw, _ := json.Marshal(result) // Encoding this struct never fails.
	fmt.Fprintln(e.out, string(raw))
	if result.Box.Failed > 0 {
		return exitFailure
	}
	return exitSuccess
}

// directCall returns a function that calls the executors directly, without a box.
func directCall(base, name string, count int, payload string) func(context.Context, int) request.Outcome {
	transport, _ := transportFor("") // Only reading an authority file can fail.
	client := &http.Client{Transport: transport}
	run := xid.New().String()
	return func(ctx context.Context, number int) request.Outcome {
		call := upstream.Call{
			Attempt: fmt.Sprintf("%s.%d", run, number), Identity: request.Identity{Caller: "load", ID: run}, Kind: "load",
			Payload: json.RawMessage(payload),
		}
		url := fmt.Sprintf("%s/upstreams/%s-%d/run", strings.TrimSuffix(base, "/"), name, number%count)
		if err := wire.Post(ctx, client, url, call, nil); err != nil {
			return ""
		}
		return request.Done
	}
}
