package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

const (
	longJobs      = 6
	longWork      = 90 * time.Second
	stopAfter     = 1500 * time.Millisecond // From the loss of the executor to the planned stop of the scheduling box.
	trafficAfter  = time.Second             // From then to the end of the traffic.
	finishTime    = 14 * time.Second        // finish_s.
	standstillMax = 3 * time.Second         // A job may have nothing running for this long.
)

// playStandstill loses one executor for good and restarts the scheduling box as planned a moment later. It then looks,
// finish_s after the end of the traffic, for jobs of which nothing runs although there is room.
func playStandstill(j *journal, trouble bool) (int, error) {
	s, err := newSite(j, []int{3, 3, 2}, 24)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	go s.submitUsual(stop)
	ids, err := s.submitLong()
	if err != nil {
		return exitNotRun, err
	}
	time.Sleep(6 * time.Second)
	lost := s.awaitRun(ids[0])
	scheduling := s.scheduling()
	if lost == nil || scheduling == nil {
		return exitNotRun, errors.New("nothing runs, or no box schedules")
	}
	if trouble {
		s.lose(lost)
	}
	time.Sleep(stopAfter)
	var restarted sync.WaitGroup
	if trouble {
		restarted.Go(func() { s.restart(scheduling) })
	}
	time.Sleep(trafficAfter)
	close(stop)
	end := time.Now()
	j.print("the traffic ends")
	time.Sleep(time.Until(end.Add(finishTime + standstillMax)))
	restarted.Wait()
	code := s.judgeStandstill(ids, end.Add(finishTime))
	time.Sleep(8 * time.Second) // For the record: when the work goes on.
	return code, nil
}

// submitLong submits the jobs that are looked at.
func (s *site) submitLong() ([]job.ID, error) {
	payload, err := json.Marshal(standin.Payload{Work: longWork, Each: job.Resources{MilliCPU: 4000, MemoryMB: 4096, Accelerators: 1}})
	if err != nil {
		return nil, err
	}
	var ids []job.ID
	for n := range longJobs {
		id := job.ID(fmt.Sprintf("%016x", rand.Uint64()))
		body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":1,"cpu":4000,"memMb":4096,"gpu":1,"estimateMs":90000}]}`, payload)
		status, _ := s.call(s.boxes[n], http.MethodPost, "/jobs/"+string(id), "desk-key", []byte(body), 3500*time.Millisecond)
		s.journal.print("client: POST %s (%v) at %s: %s", id, longWork, s.boxes[n].name, statusText(status))
		if status != http.StatusOK {
			return nil, errors.New("a job was not accepted")
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// restart stops a box as planned and starts it again.
func (s *site) restart(b *box) {
	s.journal.print("%s, which schedules, gets SIGTERM", b.name)
	_ = b.process.Process.Signal(syscall.SIGTERM)
	err := b.process.Wait()
	s.journal.print("%s has ended (%v) and is started again", b.name, b.process.ProcessState)
	if err == nil {
		err = s.run(b)
	}
	if err != nil {
		s.journal.print("%s: %v", b.name, err)
	}
}

// lose ends an executor for good with all that it runs.
func (s *site) lose(e *executor) {
	s.journal.print("worker %s is lost for good", e.worker.Record.ID)
	e.cancel()
	_ = e.server.Close()
	s.runs.end(e.worker.Record.ID, "lost")
}

var claimedMetric = regexp.MustCompile(`leases_claimed\s+count:\s+(\d+)`)

// scheduling returns the box that has claimed the lease, by its metrics.
func (s *site) scheduling() *box {
	for _, b := range s.boxes {
		resp, err := http.Get("http://" + b.ip + ":7000/metrics")
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if m := claimedMetric.FindSubmatch(raw); m != nil {
			if n, err := strconv.Atoi(string(m[1])); err == nil && n > 0 {
				return b
			}
		}
	}
	return nil
}

// judgeStandstill checks LOST: from the given time on, for 3 s, no job may have nothing running. Executors are nearly idle.
func (s *site) judgeStandstill(ids []job.ID, from time.Time) int {
	broken := 0
	for _, id := range ids {
		still := true
		for _, r := range s.runs.of(id) {
			still = still && !r.ended.IsZero() && r.ended.Before(from)
		}
		status, answer := s.call(s.boxes[1], http.MethodGet, "/jobs/"+string(id), "desk-key", nil, 3*time.Second)
		s.journal.print("client: GET %s: %d %s", id, status, answer)
		if still {
			broken++
			s.journal.print("LOST: nothing of %s has run for 3 s, %v after the end of the traffic", id, finishTime)
		}
	}
	s.journal.print("%d of %d jobs stand still", broken, len(ids))
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
