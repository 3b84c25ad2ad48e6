package cli

import (
	"fmt"
	"io"
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/node"
)

// runWhy prints the state of a job and the reason, as reported by the scheduling box or, if that box doesn't answer,
// by any other.
func runWhy(e *env, args []string) int {
	set := e.flags("why")
	boxes := set.String("boxes", defaultMetricsURL, "base `URLs` of the boxes' figures, by commas")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() != 1 {
		return e.usageError("why", "want one job")
	}
	report, err := fetchWhy(strings.Split(*boxes, ","), set.Arg(0))
	if err != nil {
		fmt.Fprintf(e.out, "why: %v\n", err)
		return exitFailure
	}
	printWhy(e.out, report)
	return exitSuccess
}

// fetchWhy queries one box after another until the scheduling box answers. If it doesn't, the last report received
// is returned.
func fetchWhy(boxes []string, job string) (*node.WhyReport, error) {
	var best *node.WhyReport
	var failed error
	for _, box := range boxes {
		report := &node.WhyReport{}
		if err := fetchReport(box, "/why/"+url.PathEscape(job), report); err != nil {
			failed = errors.WithMessage(err, box)
			continue
		}
		best = report
		if report.Scheduler {
			break
		}
	}
	switch {
	case best != nil:
		return best, nil
	case errors.Is(failed, errNotFound):
		return nil, errors.Errorf("no box knows job %s", job)
	}
	return nil, failed
}

func printWhy(w io.Writer, report *node.WhyReport) {
	fmt.Fprintf(w, "job %s is %s\n", report.Job, report.State)
	if report.Reason != "" {
		fmt.Fprintf(w, "because %s\n", report.Reason)
	}
	for i, s := range report.Steps {
		fmt.Fprintf(w, "step %d: %d tasks wait, %d are placed, %d are finished; %d runs failed, %d workers were lost under it, %d count against it\n",
			i, s.Waiting, s.Placed, s.Finished, s.Failures, s.Lost, s.Counted)
	}
	for _, line := range append(report.Waits, report.Notes...) {
		fmt.Fprintln(w, line)
	}
	if !report.Scheduler && report.State != "completed" && report.State != "failed" && report.State != "cancelled" {
		fmt.Fprintln(w, "the box that schedules did not answer: what is waited for is not known")
	}
}
