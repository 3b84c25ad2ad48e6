package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"
)

const (
	pendingWorkers = 8
	pendingJobs    = 6
	visible        = 3 * time.Second // visible_ms of the site.
	pendingSlack   = 2 * time.Second // Beyond visible_ms, by MIXED.
	pendingFor     = 15 * time.Second
)

// pending fills seven of eight workers, silences the eighth for good, and hands in six jobs in the same second. None of
// them begins, but they are no longer among the jobs that the queue shows as pending.
func pending(h *harness, trouble bool) (bool, error) {
	s, err := h.site(pendingWorkers, 2)
	if err != nil {
		return false, err
	}
	for i := range pendingWorkers - 1 {
		if err := h.submit(s.boxes[0], fmt.Sprintf("%s%016x", pull, i+1), oneTask(100*time.Second, workerCores)); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	full := map[string]bool{}
	for i := range pendingWorkers - 1 {
		runs, on := h.running(fmt.Sprintf("%016x.0.0.0", i+1), time.Since(h.began))
		if runs != 1 {
			return false, fmt.Errorf("filler %d does not run", i+1)
		}
		full[on] = true
	}
	for name, w := range s.workers {
		if !full[name] && trouble {
			h.note("executor %s, the only one with room, falls silent for good", name)
			w.signal(syscall.SIGSTOP)
		}
	}
	accepted := time.Duration(0)
	for i := range pendingJobs {
		if err := h.submit(s.boxes[0], fmt.Sprintf("%s%016x", pull, 0xa0+i), oneTask(2500*time.Millisecond, 1)); err != nil {
			return false, err
		}
		accepted = time.Since(h.began)
	}
	time.Sleep(visible + pendingSlack + 500*time.Millisecond)
	broken := false
	for end := time.Now().Add(pendingFor); time.Now().Before(end); time.Sleep(time.Second) {
		for i, b := range s.boxes {
			shown, ok := h.pending(b, pull)
			waiting := 0
			for k := range pendingJobs {
				if !h.hasBegun(fmt.Sprintf("%016x.0.0.0", 0xa0+k)) {
					waiting++
				}
			}
			if !ok {
				continue
			}
			if 2*shown < waiting {
				broken = true
			}
			h.note("box %d gives %d as pending; %d jobs have not begun, accepted %.1f s ago at the latest", i+1, shown, waiting, (time.Since(h.began) - accepted).Seconds())
		}
	}
	h.call(s.boxes[0], http.MethodGet, fmt.Sprintf("%s%016x", pull, 0xa0), "")
	return broken, nil
}

// oneTask returns a job of one task on a number of cores, as JSON.
func oneTask(work time.Duration, cores int) string {
	return fmt.Sprintf(`{"spec":%s,"steps":[{"count":1,"cpu":%d,"memMb":%d,"estimateMs":%d}]}`, spec(work, int64(cores)), 1000*cores, 256*cores, work.Milliseconds())
}

// hasBegun reports whether a worker has begun any run of a task.
func (h *harness) hasBegun(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.events {
		if e := &h.events[i]; e.Task == task && e.Event == "began" {
			return true
		}
	}
	return false
}

// pending asks a box for the number of pending jobs of a queue; ok is false if there was no such answer.
func (h *harness) pending(b *box, queue string) (n int, ok bool) {
	req, err := http.NewRequest(http.MethodGet, "http://"+b.front+queue, nil)
	if err != nil {
		return 0, false
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+deskKey)
	req.Header.Set("X-Deadline-Remaining", "3000")
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, false
	}
	var reply struct {
		Pending int `json:"pending"`
	}
	err = json.Unmarshal(raw, &reply)
	return reply.Pending, err == nil
}
