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

// whyWithin bounds the reads for an operator's question.
const whyWithin = 2 * time.Second

// WhyReport is how a job stands and why, for operators. Times are those of the last commit of the box that schedules.
type WhyReport struct {
	Job       string       `json:"job"`
	State     string       `json:"state"`
	Reason    string       `json:"reason,omitempty"` // Why it has failed.
	Steps     []StepReport `json:"steps"`
	Scheduler bool         `json:"scheduler"`       // The box that answers schedules, so that it can tell what is waited for.
	Waits     []string     `json:"waits,omitempty"` // What tasks wait for.
	Notes     []string     `json:"notes,omitempty"` // What else an operator should know of the box that answers.
}

// StepReport counts the tasks of one step of a job, over all its times.
type StepReport struct {
	Waiting  int `json:"waiting"`
	Placed   int `json:"placed"`
	Finished int `json:"finished"`
	Failures int `json:"failures"` // Failed runs; of a gang those of the whole.
	Lost     int `json:"lost"`     // Workers lost under its tasks without notice, for each task; from the third one on also starts that ended otherwise.
	Counted  int `json:"counted"`  // Those of them that may be the tasks' doing.
}

// Why returns how a job stands. The error is entry.ErrNoJob or the store's.
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
	life := job.NewLife(r, p)
	report := &WhyReport{Job: string(id), State: life.Progress.State.String(), Reason: life.Progress.Failure.Text(), Steps: stepReports(life)}
	if note := n.elsewhere.Load(); note != nil {
		report.Notes = append(report.Notes, *note)
	}
	if s := n.scheduler.Load(); s != nil {
		report.Waits, report.Scheduler = s.Why(id)
	}
	return report, nil
}

func stepReports(l *job.Life) []StepReport {
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

// serveWhy answers operators who ask why a job stands as it does.
func (n *Node) serveWhy(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), whyWithin)
	defer cancel()
	id := job.ID(chi.URLParam(r, "job"))
	report, err := n.Why(ctx, id)
	if errors.Is(err, entry.ErrNoJob) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		n.log.Warn("node: unable to tell why", zap.String("job", string(id)), logsink.Error(err))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil {
		n.log.Warn("node: unable to answer why", zap.String("job", string(id)), logsink.Error(err))
	}
}
