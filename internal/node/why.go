package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/entry"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// whyTimeout limits the reads that answer one request of an operator.
const whyTimeout = 2 * time.Second

// WhyReport shows operators the state of a job and its reasons, as of the last commit of the box that schedules.
type WhyReport struct {
	Job       string       `json:"job"`
	State     string       `json:"state"`
	Reason    string       `json:"reason,omitempty"` // Why it has failed.
	Steps     []StepReport `json:"steps"`
	Scheduler bool         `json:"scheduler"`       // Whether the answering box schedules; only it knows Waits.
	Waits     []string     `json:"waits,omitempty"` // What tasks wait for.
	Notes     []string     `json:"notes,omitempty"` // Notes on the answering box, such as a changed address.
}

// StepReport counts the tasks of one step of a job, over all occurrences of the job.
type StepReport struct {
	Waiting  int `json:"waiting"`
	Placed   int `json:"placed"`
	Finished int `json:"finished"`
	Failures int `json:"failures"` // Failed runs; for a gang those of the whole gang.
	// Lost sums over the tasks how often a task's worker was lost without notice. From a task's third loss on, its starts
	// that ended in another way are added.
	Lost    int `json:"lost"`
	Counted int `json:"counted"` // The part of Lost that the tasks may have caused.
}

// Why returns the state of a job and its reasons. The error is entry.ErrNoJob or an error of the store.
func (n *Node) Why(ctx context.Context, id job.ID) (*WhyReport, error) {
	r, err := n.ledger.Request(ctx, id)
	if err != nil {
		return nil, err
	}
	if r == nil {
		return nil, entry.ErrNoJob
	}
	p, err := n.ledger.ProgressOf(ctx, id)
	if err != nil {
		return nil, err
	}
	tracker := job.NewTracker(r, p)
	report := &WhyReport{Job: string(id), State: tracker.Progress.State.String(), Reason: tracker.Progress.Failure.Message(), Steps: stepReports(tracker)}
	if note := n.addressNote.Load(); note != nil {
		report.Notes = append(report.Notes, *note)
	}
	if s := n.scheduler.Load(); s != nil {
		report.Waits, report.Scheduler = s.Why(id)
	}
	return report, nil
}

// stepReports returns the counts of each step of a job.
func stepReports(l *job.Tracker) []StepReport {
	reports := make([]StepReport, len(l.Request.Steps))
	for i := range l.Progress.Tasks {
		t := &l.Progress.Tasks[i]
		s := &reports[l.TaskAt(i).Step]
		switch t.State {
		case job.Waiting:
			s.Waiting++
		case job.Placed:
			s.Placed++
		case job.Finished:
			s.Finished++
		}
		s.Failures += t.Failures
		s.Lost += l.Progress.Losses[i].All
		s.Counted += l.Progress.Losses[i].Counted
	}
	return reports
}

// serveWhy shows operators the state of a job and its reasons.
func (n *Node) serveWhy(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), whyTimeout)
	defer cancel()
	id := job.ID(chi.URLParam(r, "job"))
	report, err := n.Why(ctx, id)
	if errors.Is(err, entry.ErrNoJob) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		n.log.Warn("node: unable to read the state of a job for an operator", zap.String("job", string(id)), logsink.Error(err))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.Warn("node: unable to send the state of a job to an operator", zap.String("job", string(id)), logsink.Error(err))
	}
}
