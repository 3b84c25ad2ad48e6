package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	rounds         = 7                       // Outages of the store, with a calm after each.
	outage         = 1400 * time.Millisecond // Of the store, silent.
	calmTime       = 9 * time.Second         // Between two outages.
	leavingClients = 2                       // In each outage: clients that leave and cancel.
	patientClients = 3                       // In each outage: clients that wait.
	submitSpread   = 300 * time.Millisecond  // The submissions are sent within this time after the store has gone silent.
	clientPatience = 250 * time.Millisecond  // A client leaves if its submission is not answered in this time.
	workTime       = 7 * time.Second         // Of each of the two steps of a job.
)

// cancelledJob is a job that its client submits, gives up and cancels.
type cancelledJob struct {
	id          job.ID
	submitted   int       // Status of the answer to the submission; 0 if the client left before.
	cancelled   int       // Status of the answer to the cancellation.
	cancelledAt time.Time // Time of that answer.
}

// playCancel submits jobs while the store is silent for a moment. The clients leave and cancel their jobs. It then
// looks for work units of jobs whose cancelling was acknowledged.
func playCancel(j *journal, trouble bool) (int, error) {
	s, err := newSite(j, []int{3, 3, 2}, 12)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return exitNotRun, err
	}
	stop := make(chan struct{})
	defer close(stop)
	go s.submitUsual(stop)
	time.Sleep(8 * time.Second) // The boxes know each other, and nothing is left of their start.
	broken := 0
	for n := range rounds {
		broken += s.playRound(n, trouble)
	}
	j.print("%d of %d jobs with an acknowledged cancelling were worked on", broken, rounds*leavingClients)
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// playRound plays an outage and the calm after it, and returns the number of jobs for which the rule was broken.
func (s *site) playRound(round int, trouble bool) int {
	outageEnd := time.Now().Add(outage)
	if trouble {
		s.journal.print("round %d: the store goes silent for %v", round, outage)
		_ = s.store.InjectFault("silent", "")
		time.AfterFunc(outage, func() {
			_ = s.store.InjectFault("up", "")
			s.journal.print("round %d: the store answers again", round)
		})
	}
	jobs := make([]cancelledJob, leavingClients)
	var group sync.WaitGroup
	for n := range leavingClients + patientClients {
		first, second := s.boxes[(round+n)%len(s.boxes)], s.boxes[(round+n+3)%len(s.boxes)]
		wait := time.Duration(n) * submitSpread / (leavingClients + patientClients)
		id := job.ID(fmt.Sprintf("%016x", rand.Uint64()))
		if n < leavingClients {
			jobs[n].id = id
			group.Go(func() { time.Sleep(wait); s.submitAndCancel(&jobs[n], first, second) })
		} else {
			group.Go(func() { time.Sleep(wait); s.submitUsualJob(id, first) })
		}
	}
	group.Wait()
	time.Sleep(time.Until(outageEnd.Add(calmTime)))
	return s.judgeCancelled(jobs, outageEnd.Add(contact))
}

// submitAndCancel submits a job at one box, leaves, and cancels the job at another box until that is acknowledged.
func (s *site) submitAndCancel(c *cancelledJob, first, second *box) {
	s.journal.print("client: POST %s at %s", c.id, first.name)
	c.submitted, _ = s.call(first, http.MethodPost, "/jobs/"+string(c.id), "desk-key", submission(workTime, 2), clientPatience)
	s.journal.print("client: POST %s at %s: %s", c.id, first.name, statusText(c.submitted))
	for range 10 {
		s.journal.print("client: DELETE %s at %s", c.id, second.name)
		c.cancelled, _ = s.call(second, http.MethodDelete, "/jobs/"+string(c.id), "desk-key", nil, 3500*time.Millisecond)
		c.cancelledAt = time.Now()
		s.journal.print("client: DELETE %s at %s: %s", c.id, second.name, statusText(c.cancelled))
		if c.cancelled/100 == 2 || c.cancelled == http.StatusGone {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// judgeCancelled checks UNASKED: no work unit of a job starts later than cancel_ms after its cancelling was
// acknowledged, and none runs stopMs after that. Only what happens in the calm after the trouble is judged: a start
// later than cancel_ms into it, and a run that is still there cancel_ms and stopMs into it.
func (s *site) judgeCancelled(jobs []cancelledJob, calm time.Time) int {
	broken := 0
	for i := range jobs {
		c := &jobs[i]
		if c.cancelled/100 != 2 {
			continue
		}
		latest := c.cancelledAt
		if calm.After(latest) {
			latest = calm
		}
		latest = latest.Add(cancelTime)
		status, answer := s.call(s.boxes[0], http.MethodGet, "/jobs/"+string(c.id), "desk-key", nil, 3*time.Second)
		wrong := false
		for _, r := range s.runs.of(c.id) {
			if r.began.After(latest) {
				wrong = true
				s.journal.print("UNASKED: %s run %d began %.1f s after the cancelling of its job was acknowledged", r.task, r.run, r.began.Sub(c.cancelledAt).Seconds())
			}
			if end := latest.Add(stopTime); r.began.Before(end) && (r.ended.IsZero() || r.ended.After(end)) {
				wrong = true
				s.journal.print("UNASKED: %s run %d still ran %.1f s after the cancelling of its job was acknowledged", r.task, r.run, end.Sub(c.cancelledAt).Seconds())
			}
		}
		if wrong {
			broken++
			s.journal.print("job %s, submission %s, cancelling %d, is now shown as %d %s", c.id, statusText(c.submitted), c.cancelled, status, answer)
		}
	}
	return broken
}
