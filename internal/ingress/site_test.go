package ingress_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/cli"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform"
	"github.com/pulleyring/pulleyring/platform/standin"
	"golang.org/x/sys/unix"
)

const (
	// envProgram is set for the boxes: the test binary then runs as the program.
	envProgram = "PULLEYRING_INGRESS_TEST"
	// envLogs names a directory in which the logs of the boxes are kept.
	envLogs = "PULLEYRING_CROWD_LOGS"
	// envReport names a file to which the figures of each crowd are added.
	envReport = "PULLEYRING_CROWD_REPORT"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(envTLS); address != "" && os.Getenv(envProgram) != "" {
		fmt.Fprintln(os.Stderr, serveTLS(address))
		os.Exit(1)
	}
	if os.Getenv(envProgram) != "" {
		os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	heartbeat     = 1500 * time.Millisecond
	maxLease      = 10 * time.Second
	gangWait      = 3 * time.Second
	watchInterval = 20 * time.Millisecond // Interval at which the memory of the boxes is read.
	startLimit    = 20 * time.Second
	storeWrites   = 800 // Calls of all boxes a second that the users' smallest stores take.
	storeReads    = 2000
	mebibyte      = 1 << 20
)

// machine is the size of the machines on which the boxes run.
type machine struct {
	memoryMB, files int
	// share is the share of a core that a box gets: it runs for this part of each quotaPeriod. 0 means a whole core.
	share float64
}

// quotaPeriod is the time for which the share of a core is granted, as on the users' pages.
const quotaPeriod = 100 * time.Millisecond

// box is a box process.
type box struct {
	machine
	name, ip, front, ready, settings string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	peak    int64         // Peak memory in bytes, unread bytes in the kernel included.
	used    int64         // Memory in bytes as last read.
	faults  []string      // Ends of the process that nobody asked for.
	checks  []bool        // Results of the readiness checks.
	slowest time.Duration // Time of the slowest readiness check that counts.
	starts  int           // Starts of the process.
	// Number of readiness checks that do not count because the machine was too busy.
	unchecked int
}

// site is a store, workers and boxes. The boxes are processes of their own.
type site struct {
	t       *testing.T
	dir     string
	ctx     context.Context
	store   *standin.Store
	address string
	boxes   []*box
	group   sync.WaitGroup

	outage    atomic.Bool // The store has been silent.
	api       bool        // The boxes serve the product's own interface.
	callerKey string      // Key of the callers at that interface.

	mu      sync.Mutex
	holder  string               // Box that took over most recently.
	started map[job.ID]time.Time // When a worker first started a task of each job.
}

// emptySite returns a site without boxes.
func emptySite(t *testing.T) *site {
	ctx, cancel := context.WithCancel(context.Background())
	s := &site{t: t, dir: t.TempDir(), ctx: ctx, started: map[job.ID]time.Time{}}
	t.Cleanup(func() { s.close(cancel) })
	return s
}

// newSite starts a site of boxes on machines of the same size and waits until all boxes are ready.
func newSite(t *testing.T, boxes int, m machine) *site {
	s := emptySite(t)
	s.store = standin.NewStore(heartbeat)
	s.store.LimitCalls(storeWrites, storeReads)
	go s.store.Run(s.ctx)
	s.address = s.serve(s.store.Handler())
	for i := range 4 {
		s.startWorker(fmt.Sprintf("w%d", i+1))
	}
	s.addBoxes(boxes, m, func(b *box) []byte {
		relay, err := strconv.Atoi(strings.TrimPrefix(b.freeAddress(t), b.ip+":"))
		quicktest.Assert(t, err, quicktest.IsNil)
		settings := standin.Box{Name: b.name, IP: b.ip, Front: b.front, Ready: b.ready, Relay: relay, Store: s.address, MaxLease: maxLease, MemoryMB: m.memoryMB, MaxFiles: m.files}
		return settings.Settings()
	})
	for _, b := range s.boxes {
		s.start(b)
	}
	s.run()
	return s
}

// addBoxes adds boxes with their settings files. They are not started.
func (s *site) addBoxes(boxes int, m machine, settings func(b *box) []byte) {
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range boxes {
		b := &box{machine: m, name: fmt.Sprintf("box-%d", i+1), ip: fmt.Sprintf("%s.%d", network, i+1)}
		b.front, b.ready = b.freeAddress(s.t), b.freeAddress(s.t)
		b.settings = filepath.Join(s.dir, b.name+".conf")
		quicktest.Assert(s.t, os.WriteFile(b.settings, settings(b), 0o600), quicktest.IsNil)
		s.boxes = append(s.boxes, b)
	}
}

// run waits until all boxes are ready, and watches their memory and readiness from then on.
func (s *site) run() {
	s.group.Go(s.watchMemory)
	s.awaitReady()
	s.checkReadiness()
}

func (b *box) freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", b.ip+":0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func (s *site) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(s.t, err, quicktest.IsNil)
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(s.ctx, func() { _ = server.Close() })
	return l.Addr().String()
}

// startWorker starts a worker that runs many small tasks.
func (s *site) startWorker(name string) {
	w := &standin.Worker{Fleet: emulator.NewFleet(s.ctx, maxLease, gangWait), EndsSent: func(int64) {}}
	w.Fleet.Observe = func(e emulator.Event) {
		if e.Kind == emulator.Began {
			s.mu.Lock()
			defer s.mu.Unlock()
			if _, known := s.started[e.Task.Job]; !known {
				s.started[e.Task.Job] = time.Now()
			}
		}
	}
	w.Record = w.Fleet.Add(fleet.Worker{ID: name, Service: standin.Service, Hall: standin.Hall, Labels: []string{"a", "rack"}, Capacity: job.Resources{MilliCPU: 64000, MemoryMB: 64000}})
	record := w.Record
	record.Address = s.serve(w.Handler())
	sequence := int64(0)
	go interval.Every(s.ctx, heartbeat, func(context.Context) {
		sequence++
		if raw, err := standin.EncodeRecord(&record, sequence); err == nil {
			s.store.Record(name, raw)
		}
	})
}

// start starts the process of a box with the descriptors of its machine and one core.
func (s *site) start(b *box) {
	program, err := os.Executable()
	quicktest.Assert(s.t, err, quicktest.IsNil)
	c := exec.Command(program, "box")
	c.Env = append(os.Environ(), envProgram+"=1", "GOMAXPROCS=1")
	if s.api {
		c.Args = append(c.Args, "-settings", b.settings)
	} else {
		c.Env = append(c.Env, platform.EnvSettings+"="+b.settings)
	}
	c.Dir = s.dir
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := c.StdoutPipe()
	quicktest.Assert(s.t, err, quicktest.IsNil)
	log, err := os.OpenFile(filepath.Join(s.dir, b.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	quicktest.Assert(s.t, err, quicktest.IsNil)
	c.Stderr = log
	quicktest.Assert(s.t, c.Start(), quicktest.IsNil)
	limit := unix.Rlimit{Cur: uint64(b.files), Max: uint64(b.files)}
	quicktest.Check(s.t, unix.Prlimit(c.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil), quicktest.IsNil)
	ended := make(chan struct{})
	b.mu.Lock()
	b.command, b.ended = c, ended
	b.starts++
	b.mu.Unlock()
	if b.share > 0 {
		go b.enforceShare(c.Process, ended)
	}
	s.group.Go(func() {
		defer log.Close()
		for lines := bufio.NewScanner(out); lines.Scan(); {
			fmt.Fprintln(log, lines.Text())
			s.readHolder(lines.Bytes())
		}
		_ = c.Wait()
		close(ended)
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.command == c {
			b.faults = append(b.faults, fmt.Sprintf("%s ended: %s", b.name, c.ProcessState))
		}
	})
}

// enforceShare suspends a process for a part of each quotaPeriod until it has ended.
func (b *box) enforceShare(p *os.Process, ended <-chan struct{}) {
	run := time.Duration(b.share * float64(quotaPeriod))
	for {
		select {
		case <-ended:
			return
		case <-time.After(run):
		}
		_ = p.Signal(syscall.SIGSTOP) // Fails only if the process has ended.
		time.Sleep(quotaPeriod - run)
		_ = p.Signal(syscall.SIGCONT)
	}
}

// readHolder notes which box took over, from a line of a box's log.
func (s *site) readHolder(raw []byte) {
	var l struct {
		Message string `json:"msg"`
		Box     string `json:"box"`
	}
	if json.Unmarshal(raw, &l) == nil && l.Message == "scheduler: took over" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.holder = l.Box
	}
}

// stop ends the process of a box and waits for its end.
func (b *box) stop(signal os.Signal) {
	b.mu.Lock()
	c, ended := b.command, b.ended
	b.command = nil
	b.mu.Unlock()
	if c != nil {
		_ = c.Process.Signal(signal)
		<-ended
	}
}

func (s *site) close(cancel context.CancelFunc) {
	for _, b := range s.boxes {
		b.stop(syscall.SIGKILL)
	}
	cancel()
	s.group.Wait()
	if dir := os.Getenv(envLogs); dir != "" {
		_ = os.CopyFS(filepath.Join(dir, fmt.Sprintf("%s-%d", s.t.Name(), time.Now().UnixNano())), os.DirFS(s.dir))
	}
}

// awaitReady waits until all boxes are ready and one of them schedules.
func (s *site) awaitReady() {
	s.await(func() bool {
		s.mu.Lock()
		all := s.holder != ""
		s.mu.Unlock()
		for _, b := range s.boxes {
			all = all && s.readiness(newClient(time.Second), b) == http.StatusOK
		}
		return all
	})
	time.Sleep(time.Second) // The boxes read the records of the workers.
}

// await waits until a condition holds.
func (s *site) await(condition func() bool) {
	for deadline := time.Now().Add(startLimit); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatal("the boxes did not become ready in time")
		}
	}
}

// readiness returns the status of the readiness check of a box, 0 if there is no answer.
func (s *site) readiness(c *http.Client, b *box) int {
	path := paths["ready"]
	if s.api {
		path = apiPaths["ready"]
	}
	resp, err := c.Get("http://" + b.ready + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// maxControlTime is the time of a check of an idle server in the test's own process above which the machine is too busy
// for checks of boxes to count.
const maxControlTime = 100 * time.Millisecond

// checkReadiness asks the boxes once a second whether they are ready, as the load balancer does.
func (s *site) checkReadiness() {
	control := s.serve(http.NotFoundHandler())
	for _, b := range s.boxes {
		client := newClient(time.Second)
		go interval.Every(s.ctx, time.Second, func(context.Context) {
			began := time.Now()
			if resp, err := client.Get("http://" + control); err == nil {
				_ = resp.Body.Close()
			}
			busy := time.Since(began) > maxControlTime
			began = time.Now()
			status := s.readiness(client, b)
			took := time.Since(began)
			b.mu.Lock()
			defer b.mu.Unlock()
			if busy {
				b.unchecked++
				return
			}
			b.slowest = max(b.slowest, took)
			// A box that answers that it is not ready during an outage of the store is right.
			b.checks = append(b.checks, status == http.StatusOK || status != 0 && s.outage.Load())
		})
	}
}

// newClient returns a client that opens a connection for each request.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// watchMemory reads the memory of the boxes until the test ends.
func (s *site) watchMemory() {
	interval.Every(s.ctx, watchInterval, func(context.Context) { s.readMemory() })
}

// readMemory reads the memory of the boxes. It kills a box that exceeds the memory of its machine.
func (s *site) readMemory() {
	unread := unreadBytes()
	for _, b := range s.boxes {
		b.mu.Lock()
		if c := b.command; c != nil {
			b.used = residentBytes(c.Process.Pid) + unread[b.ip]
			b.peak = max(b.peak, b.used)
			if b.used > int64(b.memoryMB)*mebibyte {
				b.faults = append(b.faults, fmt.Sprintf("%s uses %d MB, its machine has %d MB", b.name, b.used/mebibyte, b.memoryMB))
				b.command = nil
				_ = c.Process.Kill()
			}
		}
		b.mu.Unlock()
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(raw))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// unreadBytes returns, by local IP address, the number of bytes that the kernel holds for processes that have not read
// them.
func unreadBytes() map[string]int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	unread := map[string]int64{}
	for _, line := range strings.Split(string(raw), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == "0A" { // In state LISTEN the queue holds connections, not bytes.
			continue
		}
		address, _ := strconv.ParseUint(fields[1][:8], 16, 32)
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(queue, 16, 64)
		unread[fmt.Sprintf("%d.%d.%d.%d", address&255, address>>8&255, address>>16&255, address>>24)] += bytes
	}
	return unread
}

// attacked returns the boxes that a word of a script names.
func (s *site) attacked(word string) []*box {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.boxes {
		switch {
		case word == "scheduling" && b.name == s.holder, word == "other" && b.name != s.holder:
			return []*box{b}
		}
	}
	return s.boxes
}
