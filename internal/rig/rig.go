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
	Program string   // This program; its roles are started from it.
	Env     []string // More variables for its processes.
	Dir     string   // Where logs are kept.
	Out     io.Writer
}

const (
	// startsWithin bounds the start of all processes.
	startsWithin = 20 * time.Second
	// pollEvery is how often a state is asked for.
	pollEvery = 250 * time.Millisecond
	// roleLimit ends a role that nobody has ended; no scenario is as long.
	roleLimit = 5 * time.Minute
	// untilMost is the longest scenario.
	untilMost = 2 * time.Minute
)

// play is one play of a scenario.
type play struct {
	*Scenario
	Options

	processes map[string]*process
	order     []*process
	store     *process
	fronts    []string
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
	defer cancel()
	p := &play{Scenario: s, Options: o, processes: map[string]*process{}, fixed: map[string]string{}}
	defer p.end()
	if err := p.begin(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	for _, step := range s.Steps {
		if !interval.Sleep(ctx, time.Until(began.Add(step.At))) {
			return nil, errors.Wrap(ctx.Err(), "rig: interrupted")
		}
		if err := p.carryOut(ctx, &step); err != nil {
			return nil, errors.WithMessagef(err, "rig: line %d", step.Line)
		}
	}
	for time.Since(began) < s.Until && !p.settled() {
		if !interval.Sleep(ctx, pollEvery) {
			return nil, errors.Wrap(ctx.Err(), "rig: interrupted")
		}
	}
	cancel()
	p.end()
	p.group.Wait()
	return p.verdict(), nil
}

// end ends all processes, the boxes first, so that nobody sees the others end.
func (p *play) end() {
	for i := len(p.order) - 1; i >= 0; i-- {
		p.order[i].kill()
	}
}

// settled reports whether all jobs have ended, as their clients know.
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

func (p *play) verdict() *Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := Judge(p.lines)
	for _, j := range p.jobs {
		switch {
		case !j.accepted:
			v.Refused++
		case !standin.Final(j.state):
			v.Unended = append(v.Unended, fmt.Sprintf("%s is %q", j.id, j.state))
		case j.state != standin.Completed:
			v.Failed = append(v.Failed, fmt.Sprintf("%s is %q", j.id, j.state))
		}
	}
	v.Jobs = len(p.jobs)
	return v
}

// begin starts everything and waits until a box schedules.
func (p *play) begin(ctx context.Context) error {
	st, err := p.role(ctx, "store", "store", "-heartbeat", p.Heartbeat.String())
	if err != nil {
		return err
	}
	p.store = st
	for i := range p.Workers {
		if err := p.beginWorker(ctx, fmt.Sprintf("w%d", i+1), st.address); err != nil {
			return err
		}
	}
	var ready []string
	for i := range p.Boxes {
		address, err := p.beginBox(ctx, i+1, st.address)
		if err != nil {
			return err
		}
		ready = append(ready, address)
	}
	client := &http.Client{}
	deadline := time.Now().Add(startsWithin)
	for {
		all := p.holds() != ""
		for _, address := range ready {
			all = all && standin.Ready(ctx, client, address)
		}
		if all {
			break
		}
		if !interval.Sleep(ctx, pollEvery) || time.Now().After(deadline) {
			return errors.New("rig: the boxes are not ready in time")
		}
	}
	// Workers are recorded by now; a box learns of them with its next read of the records.
	interval.Sleep(ctx, time.Second)
	return nil
}

func (p *play) beginWorker(ctx context.Context, name, st string) error {
	w, err := p.role(ctx, name, "worker", "-id", name, "-store", st, "-slots", fmt.Sprint(p.Slots), "-lease", p.Lease.String(), "-heartbeat", p.Heartbeat.String())
	if err != nil {
		return err
	}
	proxy, err := p.role(ctx, name+".proxy", "proxy", "-to", w.address)
	if err != nil {
		return err
	}
	return w.tell("record " + proxy.address)
}

func (p *play) beginBox(ctx context.Context, i int, st string) (ready string, err error) {
	name := fmt.Sprintf("box-%d", i)
	proxy, err := p.role(ctx, name+".store", "proxy", "-to", st)
	if err != nil {
		return "", err
	}
	var ports [3]int
	for k := range ports {
		if ports[k], err = freePort(); err != nil {
			return "", err
		}
	}
	b := standin.Box{Name: name, Front: loopback(ports[0]), Ready: loopback(ports[1]), Relay: ports[2], Store: proxy.address, MaxLease: p.Lease}
	if p.Alone {
		b.Relay = 0
	}
	file := filepath.Join(p.Dir, name+".conf")
	if err := os.WriteFile(file, b.Settings(), 0o600); err != nil {
		return "", errors.Wrap(err, "rig: unable to write settings")
	}
	p.fronts = append(p.fronts, b.Front)
	_, err = p.start(name, []string{"box"}, []string{platform.EnvSettings + "=" + file}, p.noteHolder)
	return b.Ready, err
}

// role starts one of this program's own roles and waits until it listens.
func (p *play) role(ctx context.Context, name string, args ...string) (*process, error) {
	address := make(chan string, 1)
	pr, err := p.start(name, append([]string{"rig"}, args...), nil, func(text string) {
		var l Line
		if json.Unmarshal([]byte(text), &l) != nil {
			return
		}
		if l.Event == eventListening {
			address <- l.Address
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.lines = append(p.lines, l)
		if l.Event == eventLeft {
			_ = p.store.tell(l.Worker) // The platform knows; a store that has ended needs not.
		}
	})
	if err != nil {
		return nil, err
	}
	over, stop := interval.After(startsWithin)
	defer stop()
	select {
	case pr.address = <-address:
		return pr, nil
	case <-over:
	case <-ctx.Done():
	}
	return nil, errors.Errorf("rig: %s does not listen", name)
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

func (p *play) holds() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holder
}

// start starts a process of this program and passes each line of its standard output on.
func (p *play) start(name string, args, env []string, seen func(text string)) (*process, error) {
	pr, err := startProcess(p.Program, args, append(p.Env, env...), filepath.Join(p.Dir, name))
	if err != nil {
		return nil, err
	}
	p.processes[name] = pr
	p.order = append(p.order, pr)
	p.group.Go(func() {
		defer pr.log.Close()
		defer pr.out.Close()
		lines := bufio.NewScanner(pr.out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			fmt.Fprintln(pr.log, lines.Text())
			seen(lines.Text())
		}
	})
	return pr, nil
}

// find returns the process that a target names. A box or worker that is looked up by what it does stays the same one from then on.
func (p *play) find(target string) (*process, error) {
	who, part, _ := strings.Cut(target, ".")
	if p.fixed[who] == "" {
		switch who {
		case "holder":
			p.fixed[who] = p.holds()
		case "successor":
			p.fixed[who] = fmt.Sprintf("box-%d", 1+strings.Count(p.fixed["holder"], "1"))
		case "loaded":
			p.mu.Lock()
			p.fixed[who] = mostLoaded(p.lines)
			p.mu.Unlock()
		}
	}
	if name := p.fixed[who]; name != "" {
		who = name
	}
	if part != "" {
		who += "." + part
	}
	pr := p.processes[who]
	if pr == nil {
		return nil, errors.Errorf("there is no process %q", who)
	}
	return pr, nil
}

// signals are the verbs that are signals.
var signals = map[string]syscall.Signal{"stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "kill": syscall.SIGKILL, "terminate": syscall.SIGTERM}

func (p *play) carryOut(ctx context.Context, s *Step) error {
	fmt.Fprintf(p.Out, "%6.1fs %s %s %s\n", s.At.Seconds(), s.Target, s.Verb, strings.Join(s.Args, " "))
	switch s.Target {
	case "client":
		return p.submit(ctx, s)
	case "machine":
		for i := range s.Count {
			if _, err := p.role(ctx, fmt.Sprintf("busy-%d", i+1), "busy"); err != nil {
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
		p.lines = append(p.lines, Line{At: time.Now(), Worker: filepath.Base(pr.name), Event: eventKilled})
		p.mu.Unlock()
	}
	return pr.signal(sig)
}

// submit has a client hand a job in until it is accepted, and follow it to its end.
func (p *play) submit(ctx context.Context, s *Step) error {
	p.mu.Lock()
	j := &handedIn{id: job.ID(fmt.Sprintf("%016x", len(p.jobs)+1))}
	p.jobs = append(p.jobs, j)
	p.mu.Unlock()
	c := &standin.Client{Fronts: p.fronts, HTTP: &http.Client{}}
	payload := standin.Payload{Work: s.Work, Each: slot}
	p.group.Go(func() {
		for ctx.Err() == nil && c.Submit(ctx, j.id, s.Count, payload) != nil {
			interval.Sleep(ctx, pollEvery)
		}
		if ctx.Err() != nil {
			return
		}
		p.mu.Lock()
		j.accepted = true
		p.mu.Unlock()
		for ctx.Err() == nil && !standin.Final(j.state) {
			interval.Sleep(ctx, pollEvery)
			if state := c.State(ctx, j.id); state != "" {
				p.mu.Lock()
				j.state = state
				p.mu.Unlock()
			}
		}
	})
	return nil
}
