package cli

import (
	"context"
	"fmt"

	"github.com/pulleyring/pulleyring/internal/demo"
)

func runDemo(e *env, args []string) int {
	set := e.flags("demo")
	o := demo.Options{Out: e.out}
	set.StringVar(&o.Site, "site", "gujarat", "`site`: gujarat or yeongdong")
	set.IntVar(&o.Boxes, "boxes", 3, "`number` of boxes")
	set.Uint64Var(&o.Seed, "seed", 1, "`seed` of the burst and the faults")
	set.IntVar(&o.Seconds, "seconds", 20, "length of the burst in `seconds`, 4 to 30")
	level := set.String("log", "error", "least `level` that is logged: debug, info, warn, error")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 || o.Boxes < 1 || o.Boxes > 20 || o.Seconds < 4 || o.Seconds > 30 {
		return e.usageError("demo", "-boxes is 1 to 20, -seconds 4 to 30")
	}
	o.Log = newLog(e.err, *level)
	judgement, err := demo.Run(context.Background(), o)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	fmt.Fprintln(e.out, judgement.JSON())
	if !demo.Passed(judgement) {
		return exitFailure
	}
	return exitSuccess
}
