package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/internal/rig"
)

const (
	flapWorkers = 11
	flapID      = "3b9e0a21d94b36f8"
	flapPeriod  = 1600 * time.Millisecond
	flapFor     = 7100 * time.Millisecond
)

// flap fills ten of eleven workers and hands in a job of one task, which then runs on the eleventh. That one goes down and up
// by turns for 7.1 s, and stays up after that. No run of the task ever fails.
func flap(h *harness, trouble bool) (bool, error) {
	s, err := h.site(flapWorkers-1, 2)
	if err != nil {
		return false, err
	}
	b := s.boxes[0]
	for i := range flapWorkers - 1 {
		if err := h.submit(b, fmt.Sprintf("%s%016x", pull, i+1), oneTask(100*time.Second, workerCores)); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	port, err := freePort()
	if err != nil {
		return false, err
	}
	proxy, err := h.role("flapping.proxy", rig.Role{Kind: "proxy", To: s.store.address, Port: port}, ignore)
	if err != nil {
		return false, err
	}
	f := &flapping{h: h, store: s.store, proxy: proxy}
	if err := f.up(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if err := h.submit(b, pull+flapID, oneTask(10*time.Second, workerCores)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		if err := f.flap(); err != nil {
			return false, err
		}
	}
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; time.Sleep(time.Second) {
		state = h.call(b, http.MethodGet, pull+flapID, deskKey, "").State
	}
	failed := h.countEnds(flapID+".0.0.0", "failed")
	h.note("the job is shown as %q; %d of its runs ended as failed", state, failed)
	return state == "failed" && failed == 0, nil
}

// flapping is a worker that goes down and comes up behind the same address.
type flapping struct {
	h            *harness
	store, proxy *process
	life         int
	process      *process
}

// up starts the worker, as another executor.
func (f *flapping) up() (err error) {
	f.life++
	name := fmt.Sprintf("flapping-%d", f.life)
	role := rig.Role{Kind: "worker", Worker: name, ID: name, Slots: workerCores, Lease: maxLease, Heartbeat: heartbeat}
	if f.process, err = f.h.workerProcess(name, roleCommand(role), f.store); err != nil {
		return err
	}
	f.proxy.send("to " + f.process.address)
	f.process.send("record " + f.proxy.address)
	f.h.note("executor %s is up", name)
	return nil
}

// flap lets the worker go down and up by turns for flapFor.
func (f *flapping) flap() error {
	for from := time.Now(); time.Since(from) < flapFor; {
		f.h.note("executor %s goes down", f.process.name)
		f.process.signal(syscall.SIGKILL)
		time.Sleep(flapPeriod / 2)
		if err := f.up(); err != nil {
			return err
		}
		time.Sleep(flapPeriod / 2)
	}
	return nil
}

// countEnds returns how many runs of a task workers have reported with an outcome.
func (h *harness) countEnds(task, outcome string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for i := range h.events {
		if e := &h.events[i]; e.Task == task && e.Event == "ended" && e.Outcome == outcome {
			n++
		}
	}
	return n
}
