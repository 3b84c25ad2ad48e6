package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployment (DEPLOY, "Settings of a process", and the sheet of scrc-cdr).
const (
	maxHold      = 10 * time.Second
	gangWait     = 3 * time.Second
	stopTime     = 100 * time.Millisecond // A stop takes at most bounds.stopMs, 900.
	saveEvery    = time.Second            // bounds.checkpointS
	heartbeat    = 1500 * time.Millisecond
	tick         = 10 * time.Millisecond
	maxListEnds  = 500
	maxHoldWait  = 2 * time.Second
	fullPercent  = 100
	gangSizeNone = 0
)

// work is what a job's spec tells the executors. The text of a spec is free (PROTOCOL, "Jobs").
type work struct {
	Ms     int64 `json:"work_ms"`
	CPU    int64 `json:"cpu"`
	Mem    int64 `json:"mem"`
	GPU    int64 `json:"gpu"`
	Gang   int   `json:"gang,omitempty"`    // Number of members; 0 for single work units.
	EndsMs int64 `json:"ends_ms,omitempty"` // A lasting work unit ends as done after this time; 0 to run on.
	FailMs int64 `json:"fail_ms,omitempty"` // It fails after this time; 0 to run on.
	Lasts  bool  `json:"lasts,omitempty"`
	Saves  bool  `json:"saves,omitempty"`
}

// execution is a run of a work unit.
type execution struct {
	task    string
	number  int
	spec    work
	began   time.Time
	worked  time.Duration
	seenAt  time.Time // When worked was last brought up to date.
	saved   string
	stopsAt time.Time
}

// gang counts the members of one run of a gang that are present.
type gang struct {
	present map[string]bool
	outcome string // How a member ended, empty while all run.
}

// cluster holds the executors of a site.
type cluster struct {
	record *record
	store  *store
	// checkpoint returns the text that a work unit saves.
	checkpoint func(task string, worked time.Duration) string

	mu        sync.Mutex
	executors []*executor
	gangs     map[string]*gang
	starts    map[string]int       // By work unit: number of starts.
	first     map[string]time.Time // By job: when the first of its work units began.
	runs      map[string]int       // By work unit: number of runs that are up.
	overlaps  int
}

// executor is one executor of the platform.
type executor struct {
	cluster  *cluster
	id       string
	address  string
	zone     string
	rack     string
	cpu      int64
	mem      int64
	gpu      int64
	born     time.Time
	sequence int64

	token    int64
	lease    time.Time
	running  map[string]*execution
	rejected map[string]int
	ended    [][]any
	lastEnd  int64
	changed  chan struct{}
}

func newCluster(rec *record, s *store) *cluster {
	return &cluster{
		record: rec, store: s, gangs: map[string]*gang{}, starts: map[string]int{}, first: map[string]time.Time{}, runs: map[string]int{},
		checkpoint: func(_ string, worked time.Duration) string { return fmt.Sprintf("%016x", worked.Milliseconds()) },
	}
}

// add starts an executor on a free loopback port.
func (c *cluster) add(id, zone, rack string, cpu, mem, gpu int64) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	x := &executor{
		cluster: c, id: id, address: l.Addr().String(), zone: zone, rack: rack, cpu: cpu, mem: mem, gpu: gpu, born: time.Now(),
		running: map[string]*execution{}, rejected: map[string]int{}, changed: make(chan struct{}),
	}
	go func() { _ = http.Serve(l, x.handler()) }() // It runs until the process ends.
	c.mu.Lock()
	c.executors = append(c.executors, x)
	c.mu.Unlock()
	x.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			x.beat()
		}
	}()
	go func() {
		for {
			time.Sleep(tick)
			x.step()
		}
	}()
	return x, nil
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

// beat writes the executor's entry.
func (x *executor) beat() {
	x.cluster.mu.Lock()
	x.sequence++
	entry := map[string]any{
		"service": serviceName, "address": x.address, "zone": x.zone, "configVersion": "v1", "slots": 8, "state": "ready", "coldMs": 0,
		"capacity": map[string]int64{"cpu": x.cpu, "memMb": x.mem, "gpu": x.gpu}, "labels": []string{"a", x.rack}, "clockMs": x.clock(), "sequence": x.sequence,
	}
	x.cluster.mu.Unlock()
	raw, err := json.Marshal(entry)
	if err == nil {
		x.cluster.store.put(serversTable, x.id, raw)
	}
}

// notify wakes the calls that wait for an end. The caller holds the lock.
func (x *executor) notify() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// gangOf returns the gang of a run: the members of one step with one run number.
func (c *cluster) gangOf(e *execution) *gang {
	key := fmt.Sprintf("%s/%d", e.task[:strings.LastIndex(e.task, ".")], e.number)
	if c.gangs[key] == nil {
		c.gangs[key] = &gang{present: map[string]bool{}}
	}
	return c.gangs[key]
}

// end ends a run. The caller holds the lock.
func (x *executor) end(e *execution, how string) {
	delete(x.running, e.task)
	x.rejected[e.task] = max(x.rejected[e.task], e.number)
	x.lastEnd++
	x.ended = append(x.ended, []any{x.lastEnd, e.task, e.number, how, e.saved})
	x.cluster.runs[e.task]--
	x.cluster.record.write("executor", "run ended", "executor", x.id, "task", e.task, "run", e.number, "how", how)
	if e.spec.Gang > gangSizeNone {
		if g := x.cluster.gangOf(e); g.outcome == "" {
			g.outcome = how
		}
	}
	x.notify()
}

// step advances the runs of the executor.
func (x *executor) step() {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	now := time.Now()
	for _, e := range x.running {
		x.advance(e, now)
	}
}

func (x *executor) advance(e *execution, now time.Time) {
	passed := now.Sub(e.seenAt)
	e.seenAt = now
	if now.After(x.lease) {
		x.end(e, "lapsed")
		return
	}
	if !e.stopsAt.IsZero() {
		if now.After(e.stopsAt) {
			x.end(e, "stopped")
		}
		return
	}
	if e.spec.Gang > gangSizeNone {
		g := x.cluster.gangOf(e)
		switch {
		case g.outcome == "done":
			x.end(e, "done")
			return
		case g.outcome != "":
			x.end(e, "broken")
			return
		case len(g.present) < e.spec.Gang:
			if now.Sub(e.began) > gangWait {
				x.end(e, "alone")
			}
			return
		}
	}
	before := e.worked
	e.worked += passed
	if e.spec.Saves && e.worked/saveEvery > before/saveEvery {
		e.saved = x.cluster.checkpoint(e.task, e.worked)
	}
	switch {
	case e.spec.FailMs > 0 && e.worked.Milliseconds() >= e.spec.FailMs:
		x.end(e, "failed")
		return
	case e.spec.Lasts && (e.spec.EndsMs == 0 || e.worked.Milliseconds() < e.spec.EndsMs):
	case !e.spec.Lasts && e.worked.Milliseconds() < e.spec.Ms:
	default:
		x.end(e, "done")
	}
}

// order is the body of any call to an executor.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"untilMs"`
	FencingToken int64  `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	AckedUpto    int64  `json:"ackedUpto"`
	WaitMs       int64  `json:"waitMs"`
}

func (x *executor) handler() http.Handler {
	mux := http.NewServeMux()
	for path, f := range map[string]func(http.ResponseWriter, *http.Request, *order){"/api/run-start": x.start, "/api/run-stop": x.stop, "/api/hold": x.hold} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if id := r.Header.Get("X-Expected-Instance"); id != "" && id != x.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			f(w, r, &o)
		})
	}
	return mux
}

// refuse answers with 409 and a reason.
func (x *executor) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clockMs": x.clock(), "reason": reason})
}

// fenced reports whether an order comes with a lower token than one seen before. The caller holds the lock.
func (x *executor) fenced(o *order) bool {
	if o.FencingToken < x.token {
		return true
	}
	x.token = o.FencingToken
	return false
}

// extend extends the lease. The caller holds the lock.
func (x *executor) extend(untilMs int64) {
	if untilMs == 0 {
		return
	}
	until := x.born.Add(time.Duration(untilMs) * time.Millisecond)
	if last := time.Now().Add(maxHold); until.After(last) {
		until = last
	}
	if until.After(x.lease) {
		x.lease = until
	}
}

func (x *executor) start(w http.ResponseWriter, _ *http.Request, o *order) {
	var spec work
	if json.Unmarshal([]byte(o.Spec), &spec) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if x.fenced(o) {
		x.refuse(w, "fence")
		return
	}
	x.extend(o.UntilMs)
	e := x.running[o.Task]
	if e != nil && e.number == o.Run {
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": x.clock()})
		return
	}
	if e != nil || o.Run <= x.rejected[o.Task] {
		x.refuse(w, "old")
		return
	}
	cpu, mem, gpu := spec.CPU, spec.Mem, spec.GPU
	for _, other := range x.running {
		cpu, mem, gpu = cpu+other.spec.CPU, mem+other.spec.Mem, gpu+other.spec.GPU
	}
	if cpu > x.cpu || mem > x.mem || gpu > x.gpu {
		x.refuse(w, "room")
		return
	}
	if time.Now().After(x.lease) {
		x.refuse(w, "late")
		return
	}
	x.running[o.Task] = &execution{task: o.Task, number: o.Run, spec: spec, began: time.Now(), seenAt: time.Now(), saved: o.Checkpoint}
	x.cluster.starts[o.Task]++
	if job, _, _ := strings.Cut(o.Task, "."); x.cluster.first[job].IsZero() {
		x.cluster.first[job] = time.Now()
	}
	if x.cluster.runs[o.Task]++; x.cluster.runs[o.Task] > 1 {
		x.cluster.overlaps++
	}
	if spec.Gang > gangSizeNone {
		x.cluster.gangOf(x.running[o.Task]).present[o.Task] = true
	}
	x.cluster.record.write("executor", "run began", "executor", x.id, "task", o.Task, "run", o.Run, "token", o.FencingToken)
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": x.clock()})
}

func (x *executor) stop(w http.ResponseWriter, _ *http.Request, o *order) {
	x.cluster.mu.Lock()
	defer x.cluster.mu.Unlock()
	if x.fenced(o) {
		x.refuse(w, "fence")
		return
	}
	x.rejected[o.Task] = max(x.rejected[o.Task], o.Run)
	if e := x.running[o.Task]; e != nil && e.number <= o.Run && e.stopsAt.IsZero() {
		e.stopsAt = time.Now().Add(stopTime)
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": x.clock()})
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, o *order) {
	x.cluster.mu.Lock()
	if x.fenced(o) {
		x.refuse(w, "fence")
		x.cluster.mu.Unlock()
		return
	}
	x.extend(o.UntilMs)
	for len(x.ended) > 0 && x.ended[0][0].(int64) <= o.AckedUpto {
		x.ended = x.ended[1:]
	}
	if o.WaitMs > 0 && len(x.ended) == 0 {
		changed := x.changed
		x.cluster.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait)):
		case <-r.Context().Done():
		}
		x.cluster.mu.Lock()
	}
	running := [][]any{}
	for _, e := range x.running {
		percent := int64(0)
		switch {
		case e.spec.Lasts:
			percent = fullPercent
		case e.spec.Ms > 0:
			percent = fullPercent * e.worked.Milliseconds() / e.spec.Ms
		}
		running = append(running, []any{e.task, e.number, e.saved, percent})
	}
	ended := x.ended[:min(len(x.ended), maxListEnds)]
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"clockMs": x.clock(), "running": running, "ended": ended}
	x.cluster.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// startsOf returns how often the work units of a job were started.
func (c *cluster) startsOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, starts := range c.starts {
		if strings.HasPrefix(task, job+".") {
			n += starts
		}
	}
	return n
}

// firstStart returns when a job began; zero if it has not.
func (c *cluster) firstStart(job string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first[job]
}

// inUse returns how many work units run on all executors.
func (c *cluster) inUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.executors {
		n += len(x.running)
	}
	return n
}

// watchUse waits for a time and returns the most work units that ran at a time meanwhile.
func (c *cluster) watchUse(d time.Duration) int {
	most := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		most = max(most, c.inUse())
	}
	return most
}

// runningOf returns how many work units of a job run now.
func (c *cluster) runningOf(job string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, up := range c.runs {
		if strings.HasPrefix(task, job+".") {
			n += up
		}
	}
	return n
}
