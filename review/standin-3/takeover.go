package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	takeoverWorkers = 8
	takeoverID      = "7d1e0a21d94b36f8"
	finish          = 14 * time.Second // finish_s of the site.
	killedAfter     = 1500 * time.Millisecond
	restartedAfter  = 500 * time.Millisecond
)

// takeover kills for good the worker on which the only job runs, and then the box that schedules, which is started again.
// The traffic ends with that. Seven empty workers have room for the job.
func takeover(h *harness, trouble bool) (bool, error) {
	s, err := h.site(takeoverWorkers, 2)
	if err != nil {
		return false, err
	}
	if err := h.submit(s.boxes[0], trace+takeoverID, oneTask(60*time.Second, workerCores)); err != nil {
		return false, err
	}
	task := takeoverID + ".0.0.0"
	time.Sleep(10 * time.Second)
	runs, on := h.running(task, time.Since(h.began))
	if runs != 1 {
		return false, fmt.Errorf("%d runs of the work unit before the disruption", runs)
	}
	if trouble {
		h.note("executor %s, which runs the work unit, is killed for good", on)
		s.workers[on].signal(syscall.SIGKILL)
		h.lose(task, on)
		time.Sleep(killedAfter)
		if err := h.restartHolder(s); err != nil {
			return false, err
		}
	}
	end := time.Since(h.began)
	h.note("end of the traffic")
	time.Sleep(finish)
	h.call(s.boxes[0], http.MethodGet, trace+takeoverID, deskKey, "")
	time.Sleep(waitsFor + 100*time.Millisecond)
	broken := h.waited(task, end+finish, time.Since(h.began))
	time.Sleep(8 * time.Second) // Shows when the work unit runs again.
	return broken, nil
}

// restartHolder kills the box that schedules and starts it again.
func (h *harness) restartHolder(s *site) error {
	h.mu.Lock()
	name := h.holder
	h.mu.Unlock()
	for _, b := range s.boxes {
		if b.name != name {
			continue
		}
		h.note("%s, which schedules, is killed", name)
		b.kill()
		time.Sleep(restartedAfter)
		h.note("%s is started again", name)
		return h.run(name, b)
	}
	return fmt.Errorf("no box schedules")
}
