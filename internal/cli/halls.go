package cli

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/node"
)

// runHalls prints for each box which halls it considers emptied, and how old that information is. An old age shows a
// box that lags behind.
func runHalls(e *env, args []string) int {
	set := e.flags("halls")
	boxes := set.String("boxes", defaultMetricsURL, "base `URLs` of the boxes' figures, by commas")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 {
		return e.usageError("halls", "unexpected %q", set.Arg(0))
	}
	code := exitSuccess
	for _, box := range strings.Split(*boxes, ",") {
		halls, err := fetchHalls(box)
		if err != nil {
			fmt.Fprintf(e.out, "%s: %v\n", box, err)
			code = exitFailure
			continue
		}
		fmt.Fprintln(e.out, describeHalls(box, halls))
	}
	return code
}

func fetchHalls(box string) (node.HallsReport, error) {
	var report node.HallsReport
	err := fetchReport(box, "/halls", &report)
	return report, errors.WithMessage(err, "halls")
}

func describeHalls(box string, report node.HallsReport) string {
	if !report.Known {
		return box + ": not known yet"
	}
	emptied := "none"
	if len(report.Emptied) > 0 {
		emptied = strings.Join(report.Emptied, ", ")
	}
	return fmt.Sprintf("%s: emptied %s, as of %s ago", box, emptied, time.Duration(report.AgeMs)*time.Millisecond)
}
