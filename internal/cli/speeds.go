package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/node"
)

// runSpeeds prints what the box that schedules has learned of the workers' speeds.
func runSpeeds(e *env, args []string) int {
	set := e.flags("speeds")
	boxes := set.String("box", defaultMetricsURL, "base `URL` of a box's figures; several by commas")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 {
		return e.usageError("speeds", "unexpected %q", set.Arg(0))
	}
	report, err := fetchSpeeds(strings.Split(*boxes, ","))
	if err == nil {
		err = printSpeeds(e.out, report)
	}
	if err != nil {
		fmt.Fprintf(e.out, "speeds: %v\n", err)
		return exitFailure
	}
	return exitSuccess
}

// fetchSpeeds queries one box after another until the scheduling box answers. It returns an error if none does.
func fetchSpeeds(boxes []string) (*node.SpeedsReport, error) {
	failed := errors.New("none of these boxes schedules: the box that does knows the speeds")
	for _, box := range boxes {
		var report node.SpeedsReport
		if err := fetchReport(box, "/speeds", &report); err != nil {
			failed = errors.WithMessage(err, box)
		} else if report.Scheduler {
			return &report, nil
		}
	}
	return nil, failed
}

func printSpeeds(w io.Writer, report *node.SpeedsReport) error {
	switch {
	case !report.Enabled:
		fmt.Fprintln(w, "speeds are not learned: scheduling.worker_speeds is false")
		return nil
	case len(report.Workers) == 0:
		fmt.Fprintln(w, "no speeds are known yet")
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "worker\track\tfactor\thigh\tsamples")
	for _, s := range report.Workers {
		fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%d\n", s.Worker, s.Rack, s.Factor, s.High, s.Samples)
	}
	return errors.Wrap(t.Flush(), "unable to print the speeds")
}
