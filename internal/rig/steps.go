package rig

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/interval"
)

// executeSteps executes the steps and waits until all clients have stopped polling, or until the play reaches its
// maximum length.
func (p *play) executeSteps(ctx context.Context) error {
	p.began = time.Now()
	balancing, stop := context.WithCancel(ctx)
	p.group.Go(func() { p.balance(balancing) })
	defer stop()
	for _, step := range p.Steps {
		interval.Sleep(ctx, time.Until(p.began.Add(step.At)))
		p.recordExits()
		p.began = p.began.Add(p.awaitLoaded(ctx, &step))
		if ctx.Err() != nil {
			break
		}
		if err := p.executeStep(ctx, &step); err != nil {
			return errors.WithMessagef(err, "rig: line %d", step.Line)
		}
	}
	for time.Since(p.began) < p.Until && ctx.Err() == nil && !p.allPollingDone() {
		interval.Sleep(ctx, pollInterval)
	}
	p.recordExits()
	p.recordSuperseded(ctx)
	return errors.Wrap(ctx.Err(), "rig: interrupted")
}

// duplicateDetectedWithin is the time within which a box that does not schedule detects a second process with its
// name: it reads the boxes' announcements every 20 s.
const duplicateDetectedWithin = 22 * time.Second

// recordSuperseded records the boxes that still run although they must have detected a later process with their name,
// and the time of a planned shutdown has passed since.
func (p *play) recordSuperseded(ctx context.Context) {
	for end := time.Now().Add(duplicateDetectedWithin + shutdownWithin + shutdownSlack); time.Now().Before(end) && slices.ContainsFunc(p.superseded, func(pr *process) bool { return !pr.hasEnded() }); {
		interval.Sleep(ctx, pollInterval)
	}
	for _, pr := range p.superseded {
		if !pr.hasEnded() {
			p.exits = append(p.exits, pr.name+" goes on beside a later start of it")
		}
	}
}

// awaitLoaded waits until a worker has runs if a step targets the worker with the most. It returns the time waited,
// by which all later steps are delayed: on a busy machine a job's tasks start late.
func (p *play) awaitLoaded(ctx context.Context, s *Step) time.Duration {
	began := time.Now()
	for strings.HasPrefix(s.Target, "loaded") && time.Since(began) < startsWithin && ctx.Err() == nil {
		if _, err := p.findProcess(s.Target); err == nil {
			break
		}
		interval.Sleep(ctx, pollInterval)
	}
	return time.Since(began)
}

func (p *play) allPollingDone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if !j.pollingDone {
			return false
		}
	}
	return true
}

// signals maps the verbs that send a signal to that signal.
var signals = map[string]syscall.Signal{"stop": syscall.SIGSTOP, "continue": syscall.SIGCONT, "kill": syscall.SIGKILL, "terminate": syscall.SIGTERM, "reload": syscall.SIGHUP}

func (p *play) executeStep(ctx context.Context, s *Step) error {
	fmt.Fprintf(p.Out, "%6.1fs %s %s %s\n", s.At.Seconds(), s.Target, s.Verb, strings.Join(s.Args, " "))
	switch s.Target {
	case "client":
		p.submit(ctx, s)
		return nil
	case "operator":
		return p.configure()
	case "machine":
		for i := range s.Count {
			if _, err := p.startRole(ctx, fmt.Sprintf("busy-%d", i+1), Role{Kind: "busy"}); err != nil {
				return err
			}
		}
		return nil
	}
	pr, err := p.findProcess(s.Target)
	if err != nil {
		return err
	}
	starts := s.Verb == "restart" || s.Verb == "return" || s.Verb == "again"
	if pr.hasEnded() && !starts {
		return nil // A fault of a process that has ended has no effect.
	}
	p.faults.record(s, time.Now())
	switch s.Verb {
	case "restart":
		return p.restartBox(s.Target)
	case "twin":
		return p.startDuplicateBox(pr)
	case "return", "again":
		return p.returnWorker(ctx, s.Target, s.Verb == "again")
	case "reload":
		if err := p.changeSettings(s.Target); err != nil {
			return err
		}
	}
	sig, isSignal := signals[s.Verb]
	if !isSignal {
		return pr.sendLine(strings.Join(append([]string{s.Verb}, s.Args...), " "))
	}
	if sig == syscall.SIGKILL {
		p.recordKill(pr)
	}
	pr.exitExpected = pr.exitExpected || sig == syscall.SIGKILL || sig == syscall.SIGTERM
	return errors.Wrap(pr.command.Process.Signal(sig), "rig: unable to signal")
}

// changeSettings changes the stop timeout in a box's settings file: to longerStopTime, and back to the default at every
// second call.
func (p *play) changeSettings(name string) error {
	for _, b := range p.boxes {
		if b.name != name {
			continue
		}
		if b.settings.StopTime = longerStopTime; b.reloads%2 == 1 {
			b.settings.StopTime = 0
		}
		b.reloads++
		return errors.Wrap(os.WriteFile(b.file, b.settings.Settings(), 0o600), "rig: unable to change settings")
	}
	return errors.Errorf("there is no box %q", name)
}

// longerStopTime is the stop timeout in changed settings.
const longerStopTime = 600 * time.Millisecond

// recordKill records that a process is about to be killed, unless it has ended.
func (p *play) recordKill(pr *process) {
	if pr.hasEnded() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, Line{At: time.Now(), Worker: pr.name, Event: eventKilled})
}

// recordExits records the boxes that have ended unexpectedly.
func (p *play) recordExits() {
	for _, b := range p.boxes {
		if pr := p.processes[b.name]; pr.hasEnded() && !pr.exitExpected {
			pr.exitExpected = true
			p.exits = append(p.exits, fmt.Sprintf("%s ended by itself before %s", b.name, time.Now().Format(timeFormat)))
		}
	}
}

// configure puts the next version of the configuration in force.
func (p *play) configure() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.faults.count("operator configure")
	p.faults.configured = append(p.faults.configured, time.Now())
	return p.store.sendLine(fmt.Sprintf("configure %d", p.version))
}

// findProcess returns the process that a target names. The targets "holder" and "loaded" are resolved at their first
// use and name the same process from then on.
func (p *play) findProcess(target string) (*process, error) {
	name, part, isPart := strings.Cut(target, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resolvedTargets[name] == "" {
		p.resolvedTargets[name] = map[string]string{"holder": p.holder, "loaded": mostLoadedWorker(p.lines)}[name]
	}
	if p.resolvedTargets[name] != "" {
		name = p.resolvedTargets[name]
	}
	if isPart {
		name += "." + part
	}
	pr := p.processes[name]
	if pr == nil {
		return nil, errors.Errorf("there is no process %q", name)
	}
	return pr, nil
}
