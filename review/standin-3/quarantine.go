package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/fleet"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/rig"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// runWorker serves a worker of a kind until its standard input ends. It prints the lines that the rig's workers print. Its
// commands are "fail on" and "fail off": all that runs on it or starts there fails at once, or no longer.
func runWorker(name, kind string, slots, accelerators int64) error {
	var mu sync.Mutex
	out := json.NewEncoder(os.Stdout)
	write := func(l rig.Line) {
		mu.Lock()
		defer mu.Unlock()
		if l.At.IsZero() {
			l.At = time.Now()
		}
		l.Worker = name
		_ = out.Encode(l) // The harness has ended.
	}
	w := &standin.Worker{EndsSent: func(int64) {}, Fleet: emulator.NewFleet(context.Background(), maxLease, time.Second)}
	w.Fleet.Observe = func(e emulator.Event) {
		l := rig.Line{At: e.At, Task: e.Task.String(), Run: e.Run}
		switch e.Kind {
		case emulator.Began:
			l.Event = "began"
		case emulator.Ended:
			l.Event, l.Outcome = "ended", e.Outcome.String()
		default:
			return
		}
		write(l)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.Record = w.Fleet.Add(fleet.Worker{
		ID: name, Service: standin.Service, Hall: standin.Hall, Labels: []string{kind, "rack"}, Address: listener.Addr().String(),
		Capacity: job.Resources{MilliCPU: 1000 * slots, MemoryMB: 256 * slots, Accelerators: accelerators},
	})
	go func() { _ = http.Serve(listener, w.Handler()) }() // It runs until the process ends.
	write(rig.Line{Event: "listening", Address: listener.Addr().String()})
	go func() {
		for n := int64(1); ; n++ {
			record, err := standin.EncodeRecord(&w.Record, n)
			if err != nil {
				panic(err)
			}
			write(rig.Line{Event: "record", ID: name, Record: record})
			time.Sleep(heartbeat)
		}
	}()
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		if argument, ok := strings.CutPrefix(lines.Text(), "fail "); ok {
			if err := w.Fleet.FailRuns(name, argument == "on"); err != nil {
				return err
			}
		}
	}
	return nil
}

// kindWorker starts a worker of a kind.
func (h *harness) kindWorker(name, kind string, slots, accelerators int64, store *process) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return h.workerProcess(name, exec.Command(self, "worker", name, kind, strconv.FormatInt(slots, 10), strconv.FormatInt(accelerators, 10)), store)
}

const (
	kindWorkers = 12
	kindTasks   = 6
	kindFails   = 6500 * time.Millisecond
	finish      = 14 * time.Second // finish_s of the site.
)

// quarantine has two of twelve workers of the kind that a job needs. One of them is full; the other one fails all that it
// starts for 6.5 s, and is sound from then on. The traffic ends in that time.
func quarantine(h *harness, trouble bool) (bool, error) {
	s, err := h.siteOf(2, func(store *process) (map[string]*process, error) {
		workers := map[string]*process{}
		for i := range kindWorkers {
			name, kind := fmt.Sprintf("w%d", i+1), "plain"
			if i < 2 {
				kind = "large"
			}
			w, err := h.kindWorker(name, kind, workerCores, 0, store)
			if err != nil {
				return nil, err
			}
			workers[name] = w
		}
		return workers, nil
	})
	if err != nil {
		return false, err
	}
	b := s.boxes[0]
	needs := func(count, cores int, work time.Duration) string {
		return fmt.Sprintf(`{"spec":%s,"steps":[{"count":%d,"cpu":%d,"memMb":%d,"estimateMs":%d,"requirements":"large"}]}`,
			spec(work, int64(cores)), count, 1000*cores, 256*cores, work.Milliseconds())
	}
	if err := h.submit(b, trace+fmt.Sprintf("%016x", 1), needs(1, workerCores, 100*time.Second)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	runs, full := h.running(fmt.Sprintf("%016x.0.0.0", 1), time.Since(h.began))
	if runs != 1 {
		return false, fmt.Errorf("the filler does not run")
	}
	other := map[string]string{"w1": "w2", "w2": "w1"}[full]
	from := time.Now()
	if trouble {
		h.note("executor %s fails all that it starts", other)
		s.workers[other].send("fail on")
	}
	time.Sleep(kindFails - time.Second)
	id := fmt.Sprintf("%016x", 2)
	if err := h.submit(b, trace+id, needs(kindTasks, 1, 20*time.Second)); err != nil {
		return false, err
	}
	end := time.Since(h.began)
	h.note("end of the traffic")
	time.Sleep(kindFails - time.Since(from))
	s.workers[other].send("fail off")
	h.note("executor %s is sound", other)
	time.Sleep(finish + end - time.Since(h.began))
	h.call(b, http.MethodGet, trace+id, "")
	time.Sleep(waitsFor + 200*time.Millisecond)
	broken := h.nothingRan(id, kindTasks, end+finish, time.Since(h.began))
	time.Sleep(8 * time.Second) // Shows when the job runs again.
	return broken, nil
}

// nothingRan reports whether no task of a job of one step ran at any moment between two times, more than waitsFor apart.
func (h *harness) nothingRan(id string, tasks int, from, to time.Duration) bool {
	for at := from; at < to; at += 50 * time.Millisecond {
		for i := range tasks {
			if n, _ := h.running(fmt.Sprintf("%s.0.0.%d", id, i), at); n > 0 {
				return false
			}
		}
	}
	h.note("between %.1f and %.1f s nothing of the job ran; limit %.1f s", from.Seconds(), to.Seconds(), waitsFor.Seconds())
	return to-from > waitsFor
}
