package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/rig"
	"github.com/pulleyring/pulleyring/platform"
	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	program   = "target/pulleyring"
	host      = "queue.example"
	deskKey   = "desk-key"
	heartbeat = 1500 * time.Millisecond
	maxLease  = 10 * time.Second
	// workerCores is the number of cores of a worker, with 256 MB each.
	workerCores = 8
)

// The queues of the site, like those of a small deployment.
const (
	pull  = "/pull/"  // Priority 0.
	trace = "/trace/" // Priority 1.
	dump  = "/dump/"  // Priority 2.
)

// tenant is a workspace with its key and the accelerators that it owns.
type tenant struct {
	name, key  string
	guaranteed int
}

// manifest returns the site's configuration.
func manifest(version int, tenants ...tenant) []byte {
	route := func(name, prefix string, priority int, stretch float64, objectiveMs int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"service":%q,"timeoutMs":3000,"priority":%d,"attempts":4,"stretch":%g,"objectiveMs":%d}`,
			name, host, prefix, standin.Service, priority, stretch, objectiveMs)
	}
	var list []string
	for _, t := range tenants {
		list = append(list, fmt.Sprintf(`{"name":%q,"apiKeys":[%q],"guaranteed":{"gpu":%d}}`, t.name, t.key, t.guaranteed))
	}
	return fmt.Appendf(nil, `{"configVersion":%d,"limits":{"maxBodyBytes":262144},"routes":[%s,%s,%s],"services":[{"name":%q,"admissionCheck":true}],"tenants":[%s]}`,
		version, route("pull", pull, 0, 1.5, 250), route("trace", trace, 1, 3, 1000), route("dump", dump, 2, 3, 3000), standin.Service, strings.Join(list, ","))
}

// process is a process that the harness started.
type process struct {
	name    string
	command *exec.Cmd
	in      io.WriteCloser
	address string
	ended   chan struct{}
}

func (p *process) send(line string) { _, _ = fmt.Fprintln(p.in, line) }

func (p *process) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// kill ends a process and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.ended
	_ = p.in.Close()
}

// event is what a worker reported, at a time since the begin of the play.
type event struct {
	rig.Line
	after time.Duration
}

// harness runs one play: a store, workers and boxes as processes, and the clients in this one.
type harness struct {
	dir    string // Temporary folder for settings and logs.
	record *os.File
	began  time.Time
	client http.Client

	mu        sync.Mutex
	processes []*process
	events    []event
	holder    string // Box that took over last.
}

func newHarness(record string) (*harness, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	return &harness{dir: dir, record: f, began: time.Now()}, err
}

// note writes a line to the record.
func (h *harness) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fmt.Fprintf(h.record, "%8.3f  %s\n", time.Since(h.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (h *harness) close() {
	h.mu.Lock()
	list := h.processes
	h.mu.Unlock()
	for i := len(list) - 1; i >= 0; i-- {
		list[i].kill()
	}
	_ = h.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(h.dir)
	}
}

// start starts a process of the program and passes its lines to handle.
func (h *harness) start(name string, args []string, env string, handle func(text string)) (*process, error) {
	return h.startCommand(name, exec.Command(program, args...), env, handle)
}

// startCommand starts a command as a process of the play.
func (h *harness) startCommand(name string, command *exec.Cmd, env string, handle func(text string)) (*process, error) {
	p := &process{name: name, command: command, ended: make(chan struct{})}
	p.command.Env = append(os.Environ(), env)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(h.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Stderr = log
	if p.in, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	h.mu.Lock()
	h.processes = append(h.processes, p)
	h.mu.Unlock()
	go func() {
		defer close(p.ended)
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			fmt.Fprintln(log, lines.Text())
			handle(lines.Text())
		}
		_, _ = p.command.Process.Wait()
	}()
	return p, nil
}

// role starts one of the project's stand-ins and waits until it listens.
func (h *harness) role(name string, r rig.Role, handle func(l rig.Line)) (*process, error) {
	return h.standIn(name, roleCommand(r), handle)
}

// roleCommand returns the command that runs one of the project's stand-ins.
func roleCommand(r rig.Role) *exec.Cmd {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // A role holds only numbers and strings.
	}
	return exec.Command(program, "rig", "role", string(raw))
}

// standIn starts a stand-in and waits until it listens.
func (h *harness) standIn(name string, command *exec.Cmd, handle func(l rig.Line)) (*process, error) {
	address := make(chan string, 1)
	p, err := h.startCommand(name, command, "", func(text string) {
		var l rig.Line
		if json.Unmarshal([]byte(text), &l) != nil {
			return
		}
		if l.Event == "listening" {
			address <- l.Address
			return
		}
		handle(l)
	})
	if err != nil {
		return nil, err
	}
	select {
	case p.address = <-address:
		return p, nil
	case <-time.After(20 * time.Second):
		return nil, fmt.Errorf("%s did not start to listen", name)
	}
}

// ignore drops the lines of a stand-in.
func ignore(rig.Line) {}

// worker starts one of the project's workers with slots of one core and 256 MB each.
func (h *harness) worker(name string, slots int64, store *process) (*process, error) {
	role := rig.Role{Kind: "worker", Worker: name, ID: name, Slots: slots, Lease: maxLease, Heartbeat: heartbeat}
	p, err := h.workerProcess(name, roleCommand(role), store)
	if err == nil {
		p.send("record " + p.address)
	}
	return p, err
}

// workerProcess starts the process of a worker. Its records go to the store, its runs to the record of the play.
func (h *harness) workerProcess(name string, command *exec.Cmd, store *process) (*process, error) {
	return h.standIn(name, command, func(l rig.Line) {
		if l.Event == "record" || l.Event == "left" {
			store.send("record " + l.ID + " " + string(l.Record))
			return
		}
		h.mu.Lock()
		h.events = append(h.events, event{l, l.At.Sub(h.began)})
		h.mu.Unlock()
		if l.Event == "began" || l.Event == "ended" {
			h.note("%s: %s %s run %d %s", name, l.Event, l.Task, l.Run, l.Outcome)
		}
	})
}

// firstPort and portCount are the range of the boxes' ports, below those that systems give to outgoing connections.
const firstPort, portCount = 20000, 10000

// freePort returns a port that was free a moment ago.
func freePort() (int, error) {
	for range 100 {
		port := firstPort + rand.IntN(portCount)
		l, err := net.Listen("tcp", loopback(port))
		if err == nil {
			return port, l.Close()
		}
	}
	return 0, errors.New("no free port")
}

// box is a box with its address for clients.
type box struct {
	*process
	front, ready string
	settings     string
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// newBox writes the settings of a box.
func (h *harness) newBox(name, store string) (*box, error) {
	var ports [3]int
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	s := standin.Box{Name: name, Front: loopback(ports[0]), Ready: loopback(ports[1]), Relay: ports[2], Store: store, MaxLease: maxLease, StopTime: 900 * time.Millisecond, MemoryMB: 284}
	b := &box{front: s.Front, ready: s.Ready, settings: filepath.Join(h.dir, name+".conf")}
	return b, os.WriteFile(b.settings, s.Settings(), 0o600)
}

// run starts the process of a box.
func (h *harness) run(name string, b *box) (err error) {
	b.process, err = h.start(name, []string{"box"}, platform.EnvSettings+"="+b.settings, func(text string) {
		var l struct {
			Message string `json:"msg"`
			Box     string `json:"box"`
		}
		if json.Unmarshal([]byte(text), &l) == nil && l.Message == "scheduler: took over" {
			h.mu.Lock()
			h.holder = l.Box
			h.mu.Unlock()
		}
	})
	return err
}

// waitReady waits until a box is ready and some box schedules.
func (h *harness) waitReady(b *box) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		h.mu.Lock()
		scheduled := h.holder != ""
		h.mu.Unlock()
		if scheduled && standin.Ready(&h.client, b.ready) {
			return nil
		}
	}
	return fmt.Errorf("the box at %s did not become ready", b.front)
}

// configure writes the site's configuration to the store, as the operator does.
func (h *harness) configure(store string, raw []byte) error {
	body, err := json.Marshal(map[string]any{"expectedRev": []any{}, "remove": []any{}, "writes": []any{map[string]any{"table": "op", "part": "", "key": "config", "value": raw}}})
	if err != nil {
		return err
	}
	resp, err := h.client.Post("http://"+store+"/api/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store refused the configuration with %d", resp.StatusCode)
	}
	return nil
}

// answer is the answer to a client; Status is 0 if there was none.
type answer struct {
	Status int
	State  string
}

// call makes one call of a client of the desk and records it.
func (h *harness) call(b *box, method, path, body string) answer {
	return h.callAs(b, deskKey, method, path, body)
}

// callAs makes one call with a key and records it.
func (h *harness) callAs(b *box, key, method, path, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.front+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Remaining", "3000")
	resp, err := h.client.Do(req)
	if err != nil {
		h.note("client: %s %s %s: no answer (%v)", method, path, body, err)
		return answer{}
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &reply)
	h.note("client: %s %s %s: %d %s", method, path, body, resp.StatusCode, raw)
	return answer{resp.StatusCode, reply.State}
}

// submit submits a job of the desk until it is accepted, four times at most.
func (h *harness) submit(b *box, path, body string) error {
	return h.submitAs(b, deskKey, path, body)
}

// submitAs submits a job with a key until it is accepted, four times at most.
func (h *harness) submitAs(b *box, key, path, body string) error {
	for range 4 {
		if a := h.callAs(b, key, http.MethodPost, path, body); a.Status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// spec returns the text that tells the stand-in of a worker what a task runs, as JSON text.
func spec(work time.Duration, slots int64) string {
	raw, _ := json.Marshal(standin.Payload{Work: work, Each: job.Resources{MilliCPU: 1000 * slots, MemoryMB: 256 * slots}})
	quoted, _ := json.Marshal(string(raw))
	return string(quoted)
}

// running returns the number of runs of a task at a time, and the worker of the last one that began before it.
func (h *harness) running(task string, at time.Duration) (runs int, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.events {
		e := &h.events[i]
		if e.Task != task || e.after > at {
			continue
		}
		switch e.Event {
		case "began":
			runs++
			worker = e.Worker
		case "ended":
			runs--
		}
	}
	return runs, worker
}

// site is a running site.
type site struct {
	store   *process
	workers map[string]*process
	boxes   []*box
}

// site starts a site with the project's workers, of workerCores cores each.
func (h *harness) site(workers, boxes int) (*site, error) {
	return h.siteOf(boxes, func(store *process) (map[string]*process, error) {
		started := map[string]*process{}
		for i := range workers {
			name := fmt.Sprintf("w%d", i+1)
			w, err := h.worker(name, workerCores, store)
			if err != nil {
				return nil, err
			}
			started[name] = w
		}
		return started, nil
	})
}

// siteOf starts a store, the workers that startWorkers starts, and boxes, and waits until all are ready.
func (h *harness) siteOf(boxes int, startWorkers func(store *process) (map[string]*process, error)) (*site, error) {
	s := &site{}
	var err error
	if s.store, err = h.role("store", rig.Role{Kind: "store", Heartbeat: heartbeat}, ignore); err != nil {
		return nil, err
	}
	if err := h.configure(s.store.address, manifest(2, tenant{"desk", deskKey, 0})); err != nil {
		return nil, err
	}
	if s.workers, err = startWorkers(s.store); err != nil {
		return nil, err
	}
	for i := range boxes {
		name := fmt.Sprintf("box-%d", i+1)
		b, err := h.newBox(name, s.store.address)
		if err != nil {
			return nil, err
		}
		if err := h.run(name, b); err != nil {
			return nil, err
		}
		s.boxes = append(s.boxes, b)
	}
	for _, b := range s.boxes {
		if err := h.waitReady(b); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second) // The workers have written their records.
	return s, nil
}
