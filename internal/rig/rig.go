// Package rig plays scenarios with real processes over loopback: boxes, workers, a store, and a proxy in front of
// each that can be closed, silenced or slowed. A play is one run of a scenario. Afterwards the rig checks what the
// workers did and what clients were told.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/platform"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// Options configures a play.
type Options struct {
	Program string   // Path of this program, from which the processes are started.
	Env     []string // Additional environment variables of the processes.
	Dir     string   // Directory of the logs.
	Out     io.Writer
}

const (
	startsWithin = 20 * time.Second       // startsWithin limits the time in which all processes must start.
	pollInterval = 250 * time.Millisecond // pollInterval is the interval at which a state is polled.
	maxLength    = 10 * time.Minute       // maxLength limits the length of a scenario.
	// maxRoleTime is the time after which one of the rig's own processes ends by itself, if the rig did not end it.
	maxRoleTime = maxLength + time.Minute
)

// play is one run of a scenario.
type play struct {
	*Scenario
	Options

	// By the names that steps use. Names of boxes and workers map to their latest process.
	processes       map[string]*process
	order           []*process
	store           *process
	client          http.Client
	ports           *ports
	boxes           []*boxInstance
	restarts        map[string]int    // Number of restarts, by worker.
	resolvedTargets map[string]string // Processes to which the targets "holder" and "loaded" were resolved.
	group           sync.WaitGroup
	began           time.Time // Time from which steps are due.
	faults          faultHistory
	exits           []string // Boxes that ended unexpectedly, or did not end where they had to.

	mu         sync.Mutex
	lines      []Line
	holder     string // Box that took over most recently.
	jobs       []*submittedJob
	calls      []call
	probes     []probe
	superseded []*process // Boxes of which a second process was started.
	version    int        // Of the configuration.
}

// boxInstance is a box with its addresses and settings.
type boxInstance struct {
	name, front, ready, file string
	settings                 standin.Box
	reloads                  int
	inRotation               bool // It gets new connections.
	missedProbes             int  // Consecutive readiness probes without success.
}

// Play plays a scenario and checks the result. Every process that it started has ended when it returns.
func Play(ctx context.Context, s *Scenario, o Options) (*Verdict, error) {
	// Pdeathsig is delivered when the thread that started a process ends. Keeping this thread ensures that no
	// process outlives the rig, and that none is ended early.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ports, err := newPorts()
	if err != nil {
		return nil, err
	}
	defer ports.close()
	ctx, cancel := context.WithTimeout(ctx, startsWithin+s.Until)
	p := &play{ports: ports, Scenario: s, faults: faultHistory{lease: s.Lease}, Options: o, processes: map[string]*process{}, resolvedTargets: map[string]string{}, restarts: map[string]int{}, version: 1}
	err = p.startAll(ctx)
	if err == nil {
		err = p.executeSteps(ctx)
	}
	cancel()
	for i := len(p.order) - 1; i >= 0; i-- { // Boxes end before the processes that they connect to.
		p.order[i].kill()
	}
	p.group.Wait()
	if err != nil {
		return nil, err
	}
	return p.verdict(), nil
}

// startAll starts all processes and waits until a box schedules.
func (p *play) startAll(ctx context.Context) (err error) {
	if p.store, err = p.startRole(ctx, "store", Role{Kind: "store", Heartbeat: p.Heartbeat}); err != nil {
		return err
	}
	for i := range p.Workers {
		if err := p.startWorker(ctx, fmt.Sprintf("w%d", i+1)); err != nil {
			return err
		}
	}
	for i := range p.Boxes {
		if err := p.startBoxWithProxy(ctx, fmt.Sprintf("box-%d", i+1)); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startsWithin); !p.allReady(); {
		if !interval.Sleep(ctx, pollInterval) || time.Now().After(deadline) {
			return errors.New("rig: the boxes did not become ready in time")
		}
	}
	// The workers have written their records; the boxes read them within this time.
	interval.Sleep(ctx, time.Second)
	return nil
}

func (p *play) allReady() bool {
	for _, b := range p.boxes {
		if b.inRotation = standin.Ready(&p.client, b.ready); !b.inRotation {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder != ""
}

func (p *play) startWorker(ctx context.Context, name string) error {
	w, err := p.startRole(ctx, name, p.workerRole(name, name))
	if err != nil {
		return err
	}
	proxy, err := p.startProxy(ctx, name+".proxy", w.address)
	if err != nil {
		return err
	}
	return w.sendLine("record " + proxy.address)
}

func (p *play) workerRole(incarnation, id string) Role {
	return Role{Kind: "worker", Worker: incarnation, ID: id, Slots: int64(p.Slots), Lease: p.Lease, Heartbeat: p.Heartbeat, Drift: p.Drift, TimeFactor: p.timeFactor(incarnation)}
}

// timeFactors are the factors by which work takes longer on the workers of an uneven site. They are from the users'
// pages, which give each to a third of the workers.
var timeFactors = [...]float64{0.6, 1, 1.6}

// timeFactor returns the factor by which work takes longer on a worker. All incarnations of a worker have the same.
func (p *play) timeFactor(incarnation string) float64 {
	var number int
	if _, err := fmt.Sscanf(incarnation, "w%d", &number); err != nil || p.Uneven == 0 {
		return 1
	}
	return timeFactors[number%len(timeFactors)]
}

// returnWorker restarts a worker behind the same proxy, under its own name or under a new one. It kills the earlier
// incarnation if that still runs.
func (p *play) returnWorker(ctx context.Context, name string, again bool) error {
	before, proxy := p.processes[name], p.processes[name+".proxy"]
	if before == nil || proxy == nil {
		return errors.Errorf("there is no worker %q", name)
	}
	p.recordKill(before)
	before.kill()
	p.restarts[name]++
	incarnation := fmt.Sprintf("%s-%d", name, p.restarts[name]+1)
	id := incarnation
	if again {
		id = name
	}
	w, err := p.startRole(ctx, incarnation, p.workerRole(incarnation, id))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.processes[name], p.processes[incarnation+".proxy"] = w, proxy
	p.mu.Unlock()
	if err := proxy.sendLine(modeTo + " " + w.address); err != nil {
		return err
	}
	return w.sendLine("record " + proxy.address)
}

// restartBox restarts a box. It kills the earlier process if that still runs.
func (p *play) restartBox(name string) error {
	before := p.processes[name]
	if before == nil {
		return errors.Errorf("there is no box %q", name)
	}
	before.kill()
	for _, b := range p.boxes {
		if b.name == name {
			_, err := p.startProgram(name, []string{"box"}, platform.EnvSettings+"="+b.file, p.readHolder)
			return err
		}
	}
	return nil
}

func (p *play) startBoxWithProxy(ctx context.Context, name string) error {
	proxy, err := p.startProxy(ctx, name+".store", p.store.address)
	if err != nil {
		return err
	}
	return p.startBox(name, proxy.address, name+".conf")
}

// startDuplicateBox starts a second process of a box at other addresses. The first one must then end by itself.
func (p *play) startDuplicateBox(first *process) error {
	path := p.processes[first.name+".store"]
	if path == nil {
		return errors.Errorf("there is no box %q", first.name)
	}
	first.exitExpected = true
	p.superseded = append(p.superseded, first)
	return p.startBox(first.name, path.address, fmt.Sprintf("%s-%d.conf", first.name, len(p.superseded)+1))
}

// startBox starts a box with its own settings file, which names the address of the store.
func (p *play) startBox(name, storeAddress, settings string) (err error) {
	var ports [3]int
	for k := range ports {
		if ports[k], err = p.ports.free(); err != nil {
			return err
		}
	}
	b := standin.Box{Name: name, Front: loopback(ports[0]), Ready: loopback(ports[1]), Relay: ports[2], Store: storeAddress, MaxLease: p.Lease}
	if p.Alone != 0 {
		b.Relay = 0
	}
	file := filepath.Join(p.Dir, settings)
	p.boxes = append(p.boxes, &boxInstance{name: name, front: b.Front, ready: b.Ready, file: file, settings: b})
	if err := os.WriteFile(file, b.Settings(), 0o600); err != nil {
		return errors.Wrap(err, "rig: unable to write settings")
	}
	_, err = p.startProgram(name, []string{"box"}, platform.EnvSettings+"="+file, p.readHolder)
	return err
}

// startProxy starts a proxy in front of an address.
func (p *play) startProxy(ctx context.Context, name, target string) (*process, error) {
	port, err := p.ports.free()
	if err != nil {
		return nil, err
	}
	return p.startRole(ctx, name, Role{Kind: "proxy", To: target, Port: port})
}

// startRole starts one of the rig's own processes and waits until it listens.
func (p *play) startRole(ctx context.Context, name string, r Role) (*process, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "rig: unable to encode a role")
	}
	address := make(chan string, 1)
	pr, err := p.startProgram(name, []string{"rig", "role", string(raw)}, "", func(text string) { p.handleLine(text, address) })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startsWithin)
	defer cancel()
	p.mu.Lock()
	pr.isWorker = r.Kind == "worker"
	p.mu.Unlock()
	select {
	case pr.address = <-address:
		return pr, nil
	case <-ctx.Done():
		return nil, errors.Errorf("rig: %s did not start to listen in time", name)
	}
}

// handleLine handles a line from one of the rig's own processes.
func (p *play) handleLine(text string, address chan<- string) {
	var l Line
	if json.Unmarshal([]byte(text), &l) != nil {
		return
	}
	switch l.Event {
	case eventListening:
		address <- l.Address
		return
	case eventRecord, eventLeft: // The platform removes the record of a worker that has left.
		_ = p.store.sendLine("record " + l.ID + " " + string(l.Record)) // The store runs as long as the rig.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, l)
	if l.Gang == 0 {
		return
	}
	for _, pr := range p.order {
		if pr.isWorker && pr.name != l.Worker {
			_ = pr.sendLine("member " + text) // A process that has ended needs no events.
		}
	}
}

// readHolder sets the scheduling box when a line of a box's log reports that it took over.
func (p *play) readHolder(text string) {
	var l struct {
		Message string `json:"msg"`
		Box     string `json:"box"`
	}
	if json.Unmarshal([]byte(text), &l) != nil || l.Message != "scheduler: took over" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holder = l.Box
}

// startProgram starts a process of this program and passes each line of its standard output to handle.
func (p *play) startProgram(name string, args []string, env string, handle func(text string)) (*process, error) {
	pr, err := startProcess(p.Program, args, append(p.Env, env), filepath.Join(p.Dir, name))
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.processes[name] = pr
	p.order = append(p.order, pr)
	p.mu.Unlock()
	p.group.Go(func() { pr.copyOutput(handle) })
	return pr, nil
}
