package main

import (
	"fmt"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/internal/rig"
)

const (
	lastingID      = "5c0e7a21d94b36f8"
	lastingWorkers = 9
	fillers        = 6 // Each fills a worker.
	killAfter      = 20 * time.Second
	watchFor       = 30 * time.Second
	calmAfter      = 4 * time.Second // Before the three seconds that LOST speaks of.
	startsWithin   = 6 * time.Second // After the last run of a lasting work unit.
	waitsFor       = 3 * time.Second
)

// lasting has a work unit that lasts on one of nine workers, of which six are full and two are empty, and kills its
// worker for good. Two empty workers have room for it 16 times over.
func lasting(h *harness, trouble bool) (bool, error) {
	s, err := h.site(lastingWorkers, 2)
	if err != nil {
		return false, err
	}
	b := s.boxes[0]
	step := fmt.Sprintf(`"count":1,"cpu":1000,"memMb":256,"estimateMs":%d,"persistent":true`, 7600)
	if err := h.submit(b, dump+lastingID, fmt.Sprintf(`{"spec":%s,"steps":[{%s}]}`, spec(time.Hour, 1), step)); err != nil {
		return false, err
	}
	task := lastingID + ".0.0.0"
	time.Sleep(2 * time.Second)
	for i := range fillers {
		id := fmt.Sprintf("%016x", i+1)
		if err := h.submit(b, trace+id, oneTask(100*time.Second, workerCores)); err != nil {
			return false, err
		}
	}
	time.Sleep(killAfter)
	runs, on := h.running(task, time.Since(h.began))
	if runs != 1 {
		return false, fmt.Errorf("%d runs of the work unit before the disruption", runs)
	}
	for i := range fillers {
		if n, _ := h.running(fmt.Sprintf("%016x.0.0.0", i+1), time.Since(h.began)); n != 1 {
			return false, fmt.Errorf("filler %d does not run", i+1)
		}
	}
	lost := time.Since(h.began)
	if trouble {
		h.note("executor %s, which runs the work unit, is killed for good", on)
		s.workers[on].signal(syscall.SIGKILL)
		h.lose(task, on)
	}
	time.Sleep(watchFor)
	h.call(b, "GET", dump+lastingID, "")
	h.call(b, "GET", dump, "")
	return h.waited(task, lost+max(calmAfter, startsWithin), time.Since(h.began)), nil
}

// waited reports whether a work unit did not run for waitsFor on end, between two times.
func (h *harness) waited(task string, from, to time.Duration) bool {
	const tick = 50 * time.Millisecond
	idle, longest := time.Duration(0), time.Duration(0)
	for at := from; at < to; at += tick {
		idle += tick
		if n, _ := h.running(task, at); n > 0 {
			idle = 0
		}
		longest = max(longest, idle)
	}
	h.note("between %.1f and %.1f s the work unit did not run for %.1f s on end; limit %.1f s", from.Seconds(), to.Seconds(), longest.Seconds(), waitsFor.Seconds())
	return longest > waitsFor
}

// lose records that the run of a task has ended with its worker.
func (h *harness) lose(task, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event{rig.Line{Event: "ended", Task: task, Worker: worker}, time.Since(h.began)})
}
