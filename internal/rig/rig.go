// Package rig plays scenarios with real processes over loopback: boxes, workers, a store, and a proxy in front of each that can be
// closed, silenced or slowed. It judges what the workers did.
package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// Options is how a scenario is played.
type Options struct {
	Program string   // This program; its processes are started from it.
	Env     []string // More variables for them.
	Dir     string   // Where logs are kept.
	Out     io.Writer
}

const (
	// startsWithin bounds the start of all processes.
	startsWithin = 20 * time.Second
	// pollEvery is how often a state is asked for.
	pollEvery = 250 * time.Millisecond
	// untilMost is the longest scenario.
	untilMost = 2 * time.Minute
	// roleLimit ends a process of the rig's own that nobody has ended.
	roleLimit = untilMost + time.Minute
)

// play is one play of a scenario.
type play struct {
	*Scenario
	Options

	processes map[string]*process
	order     []*process
	store     *process
	client    http.Client
	ready     []string          // Where boxes tell whether they are ready.
	fronts    []string          // Where they serve clients.
	fixed     map[string]string // What a target that was looked up stands for.
	group     sync.WaitGroup

	mu     sync.Mutex
	lines  []Line
	holder string // The box that took over last.
	jobs   []*handedIn
}

// handedIn is a job and what its client knows of it.
type handedIn struct {
	id       job.ID
	accepted bool
	state    string
}

// Play plays a scenario and judges it. Every process that it starts has ended when it returns.
func Play(ctx context.Context, s *Scenario, o Options) (*Verdict, error) {
	// The kernel ends a process when the thread that started it ends, so that none outlives the rig.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ctx, cancel := context.WithTimeout(ctx, startsWithin+s.Until)
	p := &play{Scenario: s, Options: o, processes: map[string]*process{}, fixed: map[string]string{}}
	err := p.begin(ctx)
	if err == nil {
		err = p.carryOutAll(ctx)
	}
	cancel()
	for i := len(p.order) - 1; i >= 0; i-- { // The boxes before those that they speak to.
		p.order[i].kill()
	}
	p.group.Wait()
	if err != nil {
		return nil, err
	}
	return p.verdict(), nil
}

// begin starts everything and waits until a box schedules.
func (p *play) begin(ctx context.Context) (err error) {
	if p.store, err = p.role(ctx, "store", Role{Kind: "store", Heartbeat: p.Heartbeat}); err != nil {
		return err
	}
	for i := range p.Workers {
		if err := p.beginWorker(ctx, fmt.Sprintf("w%d", i+1)); err != nil {
			return err
		}
	}
	for i := range p.Boxes {
		if err := p.beginBox(ctx, fmt.Sprintf("box-%d", i+1)); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startsWithin); !p.allReady(); {
		if !interval.Sleep(ctx, pollEvery) || time.Now().After(deadline) {
			return errors.New("rig: the boxes are not ready in time")
		}
	}
	interval.Sleep(ctx, time.Second) // Workers are recorded by now; a box learns of them with its next read of the records.
	return nil
}

func (p *play) allReady() bool {
	for _, address := range p.ready {
		if !standin.Ready(&p.client, address) {
			return false
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder != ""
}

func (p *play) beginWorker(ctx context.Context, name string) error {
	w, err := p.role(ctx, name, Role{Kind: "worker", Worker: name, Slots: int64(p.Slots), Lease: p.Lease, Heartbeat: p.Heartbeat})
	if err != nil {
		return err
	}
	before, err := p.role(ctx, name+".proxy", Role{Kind: "proxy", To: w.address})
	if err != nil {
		return err
	}
	return w.tell("record " + before.address)
}

func (p *play) beginBox(ctx context.Context, name string) error {
	before, err := p.role(ctx, name+".store", Role{Kind: "proxy", To: p.store.address})
	if err != nil {
		return err
	}
	var ports [3]int
	for k := range ports {
		if ports[k], err = freePort(); err != nil {
			return err
		}
	}
	b := standin.Box{Name: name, Front: loopback(ports[0]), Ready: loopback(ports[1]), Relay: ports[2], Store: before.address, MaxLease: p.Lease}
	if p.Alone != 0 {
		b.Relay = 0
	}
	p.fronts, p.ready = append(p.fronts, b.Front), append(p.ready, b.Ready)
	file := filepath.Join(p.Dir, name+".conf")
	if err := os.WriteFile(file, b.Settings(), 0o600); err != nil {
		return errors.Wrap(err, "rig: unable to write settings")
	}
	_, err = p.start(name, []string{"box"}, platform.EnvSettings+"="+file, p.noteHolder)
	return err
}

// role starts one of the rig's own processes and waits until it listens.
func (p *play) role(ctx context.Context, name string, r Role) (*process, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "rig: unable to encode a role")
	}
	address := make(chan string, 1)
	pr, err := p.start(name, []string{"rig", "role", string(raw)}, "", func(text string) { p.note(text, address) })
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, startsWithin)
	defer cancel()
	select {
	case pr.address = <-address:
		return pr, nil
	case <-ctx.Done():
		return nil, errors.Errorf("rig: %s does not listen", name)
	}
}

// note takes in a line of one of the rig's own processes.
func (p *play) note(text string, address chan<- string) {
	var l Line
	if json.Unmarshal([]byte(text), &l) != nil {
		return
	}
	switch l.Event {
	case eventListening:
		address <- l.Address
		return
	case eventRecord, eventLeft: // The platform knows of a worker that has left.
		_ = p.store.tell(l.Worker + " " + string(l.Record)) // The store ends only with the rig.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, l)
}

// noteHolder takes in from a box's log that it schedules.
func (p *play) noteHolder(text string) {
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

// start starts a process of this program and passes each line of its standard output on.
func (p *play) start(name string, args []string, env string, seen func(text string)) (*process, error) {
	pr, err := startProcess(p.Program, args, append(p.Env, env), filepath.Join(p.Dir, name))
	if err != nil {
		return nil, err
	}
	p.processes[name] = pr
	p.order = append(p.order, pr)
	p.group.Go(func() {
		defer pr.log.Close()
		defer pr.out.Close()
		for lines := bufio.NewScanner(pr.out); lines.Scan(); {
			fmt.Fprintln(pr.log, lines.Text())
			seen(lines.Text())
		}
	})
	return pr, nil
}

// carryOutAll carries out the steps and waits until all jobs have ended, as their clients know.
func (p *play) carryOutAll(ctx context.Context) error {
	began := time.Now()
	for _, step := range p.Steps {
		interval.Sleep(ctx, time.Until(began.Add(step.At)))
		began = began.Add(p.awaitLoaded(ctx, &step))
		if err := p.carryOut(ctx, &step); err != nil {
			return errors.WithMessagef(err, "rig: line %d", step.Line)
		}
	}
	for time.Since(began) < p.Until && ctx.Err() == nil && !p.settled() {
		interval.Sleep(ctx, pollEvery)
	}
	return errors.Wrap(ctx.Err(), "rig: interrupted")
}

// awaitLoaded waits until a worker has runs, if a step names the one with the most, and returns how much later the steps come for that:
// on a busy machine a job's tasks begin late.
func (p *play) awaitLoaded(ctx context.Context, s *Step) time.Duration {
	began := time.Now()
	for strings.HasPrefix(s.Target, "loaded") && time.Since(began) < startsWithin && ctx.Err() == nil {
		if _, err := p.find(s.Target); err == nil {
			break
		}
		interval.Sleep(ctx, pollEvery)
	}
	return time.Since(began)
}

func (p *play) settled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if !standin.Final(j.state) {
			return false
		}
	}
	return true
}

// signals are the verbs that are signals.
var signals = map[string]syscall.Signal{"stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "kill": syscall.SIGKILL, "terminate": syscall.SIGTERM}

func (p *play) carryOut(ctx context.Context, s *Step) error {
	fmt.Fprintf(p.Out, "%6.1fs %s %s %s\n", s.At.Seconds(), s.Target, s.Verb, strings.Join(s.Args, " "))
	switch s.Target {
	case "client":
		p.submit(ctx, s)
		return nil
	case "machine":
		for i := range s.Count {
			if _, err := p.role(ctx, fmt.Sprintf("busy-%d", i+1), Role{Kind: "busy"}); err != nil {
				return err
			}
		}
		return nil
	}
	pr, err := p.find(s.Target)
	if err != nil {
		return err
	}
	sig, isSignal := signals[s.Verb]
	if !isSignal {
		return pr.tell(strings.Join(append([]string{s.Verb}, s.Args...), " "))
	}
	if sig == syscall.SIGKILL {
		p.mu.Lock()
		p.lines = append(p.lines, Line{At: time.Now(), Worker: pr.name, Event: eventKilled})
		p.mu.Unlock()
	}
	return errors.Wrap(pr.command.Process.Signal(sig), "rig: unable to signal")
}

// find returns the process that a target names. One that is looked up by what it does stays the same from then on.
func (p *play) find(target string) (*process, error) {
	who, part, isPart := strings.Cut(target, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fixed[who] == "" {
		p.fixed[who] = map[string]string{"holder": p.holder, "loaded": mostLoaded(p.lines)}[who]
	}
	if p.fixed[who] != "" {
		who = p.fixed[who]
	}
	if isPart {
		who += "." + part
	}
	pr := p.processes[who]
	if pr == nil {
		return nil, errors.Errorf("there is no process %q", who)
	}
	return pr, nil
}

// submit has a client hand a job in until it is accepted, and follow it to its end.
func (p *play) submit(ctx context.Context, s *Step) {
	p.mu.Lock()
	j := &handedIn{id: job.ID(fmt.Sprintf("%016x", len(p.jobs)+1))}
	p.jobs = append(p.jobs, j)
	p.mu.Unlock()
	c := &standin.Client{Fronts: p.fronts, HTTP: &p.client}
	p.group.Go(func() {
		for accepted, state := false, ""; ctx.Err() == nil && !standin.Final(state); interval.Sleep(ctx, pollEvery) {
			if accepted {
				state = c.State(ctx, j.id)
			} else {
				accepted = c.Submit(ctx, j.id, s.Count, standin.Payload{Work: s.Work, Each: slot}) == nil
			}
			p.mu.Lock()
			j.accepted, j.state = accepted, state
			p.mu.Unlock()
		}
	})
}
