package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	crashes   = 6
	crashDown = 2 * time.Second // From a crash to the next life of the executor.
	runBefore = 4 * time.Second // How long the work unit runs before its executor crashes.
	// By LOST, a work unit that lasts must run again 6 s after its last run, or nothing of it runs for 3 s; those 3 s and
	// the 4 s before them are calm.
	restartLimit = 13 * time.Second
	lastingWork  = time.Hour // The work unit does not end by itself.
)

// playCrash submits a job whose work unit lasts until it is cancelled. Executors crash, one at a time, each while the work
// unit runs there. No run ever ends as failed.
func playCrash(j *journal, trouble bool) (int, error) {
	s, err := newSite(j, []int{3, 3, 2}, 24)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go s.submitUsual(stop)
	id := job.ID(fmt.Sprintf("%016x", rand.Uint64()))
	payload, err := json.Marshal(standin.Payload{Work: lastingWork, Each: job.Resources{MilliCPU: 4000, MemoryMB: 4096, Accelerators: 1}})
	if err != nil {
		return exitNotRun, err
	}
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":4000,"memMb":4096,"gpu":1,"estimateMs":60000,"persistent":true}]}`, payload)
	status, _ := s.call(s.boxes[0], http.MethodPost, "/jobs/"+string(id), "desk-key", []byte(body), 3500*time.Millisecond)
	j.print("client: POST %s (persistent) at %s: %s", id, s.boxes[0].name, statusText(status))
	if status != http.StatusOK {
		return exitNotRun, errors.New("the job was not accepted")
	}
	for n := range crashes {
		at := s.awaitRun(id)
		if at == nil {
			j.print("nothing of the job runs")
			break
		}
		time.Sleep(runBefore)
		if trouble {
			if err := s.crash(s.ctx, at, crashDown); err != nil {
				return exitNotRun, err
			}
		}
		status, answer := s.call(s.boxes[n%len(s.boxes)], http.MethodGet, "/jobs/"+string(id), "desk-key", nil, 3*time.Second)
		j.print("client: GET %s: %d %s", id, status, answer)
	}
	time.Sleep(10 * time.Second)
	status, answer := s.call(s.boxes[1], http.MethodGet, "/jobs/"+string(id), "desk-key", nil, 3*time.Second)
	j.print("client: GET %s: %d %s", id, status, answer)
	return s.judgeLasting(id, answer), nil
}

// judgeLasting checks LOST for a work unit that lasts: its job must not be shown as failed, as no end of it was `failed`;
// and a run of it must be at work again within 6 s and 3 s after the last one.
func (s *site) judgeLasting(id job.ID, answer string) int {
	code, last, running := exitHeld, time.Time{}, 0
	for _, r := range s.runs.of(id) {
		if r.ended.IsZero() {
			running++
		}
		if r.ended.After(last) {
			last = r.ended
		}
	}
	s.journal.print("%d runs of the work unit are at work", running)
	if strings.Contains(answer, `"failed"`) {
		s.journal.print("LOST: the job is shown as failed, although no run of it has ended as failed")
		code = exitBroken
	}
	if idle := time.Since(last); running == 0 && idle > restartLimit {
		s.journal.print("LOST: nothing of the job has run for %.1f s, with all executors but one idle or nearly so", idle.Seconds())
		code = exitBroken
	}
	return code
}
