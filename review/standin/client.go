package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	usualGap   = 250 * time.Millisecond // Between two submissions of the usual traffic.
	usualWork  = 200 * time.Millisecond // Of a job of the usual traffic.
	waitForRun = 15 * time.Second
)

// submitUsual submits small jobs evenly until stop is closed: the usual traffic of the site.
func (s *site) submitUsual(stop <-chan struct{}) {
	ticks := time.NewTicker(usualGap)
	defer ticks.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticks.C:
		}
		go s.submitUsualJob(job.ID(fmt.Sprintf("%016x", rand.Uint64())), s.boxes[n%len(s.boxes)])
	}
}

func (s *site) submitUsualJob(id job.ID, b *box) {
	status, _ := s.call(b, http.MethodPost, "/jobs/"+string(id), "desk-key", submission(usualWork, 1), 3500*time.Millisecond)
	s.journal.print("other client: POST %s at %s: %s", id, b.name, statusText(status))
}

// submission returns the body of a job with steps of one work unit each, one after the other.
func submission(work time.Duration, steps int) []byte {
	payload, err := json.Marshal(standin.Payload{Work: work, Each: job.Resources{MilliCPU: 2000, MemoryMB: 1024, Accelerators: 1}})
	if err != nil {
		panic(err) // It holds only numbers.
	}
	step := fmt.Sprintf(`"count":1,"cpu":2000,"memMb":1024,"gpu":1,"estimateMs":%d`, work.Milliseconds())
	body := fmt.Sprintf(`{"spec":%q,"steps":[{%s}`, payload, step)
	for n := 1; n < steps; n++ {
		body += fmt.Sprintf(`,{%s,"sinceRev":[%d]}`, step, n-1)
	}
	return []byte(body + "]}")
}

func statusText(status int) string {
	if status == 0 {
		return "no answer; the client leaves"
	}
	return fmt.Sprint(status)
}

// awaitRun waits until a work unit of a job runs, and returns the executor; nil if none does.
func (s *site) awaitRun(id job.ID) *executor {
	for end := time.Now().Add(waitForRun); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, r := range s.runs.of(id) {
			for _, e := range s.executors {
				if r.ended.IsZero() && e.worker.Record.ID == r.worker {
					return e
				}
			}
		}
	}
	return nil
}
