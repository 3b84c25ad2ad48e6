package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pulleyring/pulleyring/internal/rig"
)

// runSoak runs real processes under randomly chosen faults and checks the outcome, once for each seed.
func runSoak(e *env, args []string) int {
	set := e.flags("soak")
	seed := set.Uint64("seed", 1, "first `seed`")
	seeds := set.Int("seeds", 1, "`number` of seeds")
	length := set.Duration("for", 30*time.Second, "`time` of the traffic of each play, up to 5m")
	keep := set.Bool("keep", false, "keep the logs of all plays, not only of those that broke something")
	dir := set.String("dir", filepath.Join(os.TempDir(), "pulleyring-soak"), "`directory` for logs")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 || *seeds < 1 || *length < time.Second || *length > 5*time.Minute {
		return e.usageError("soak", "want one seed or more, and a time from 1s to 5m")
	}
	program, err := os.Executable()
	if err != nil {
		return e.fail(exitFailure, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	s := &rig.Soak{Options: rig.Options{Program: program, Dir: *dir, Out: e.out}, Seed: *seed, Seeds: *seeds, Length: *length, Keep: *keep}
	outcome, err := s.Run(ctx)
	fmt.Fprintln(e.out, outcome)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	if len(outcome.Broken) > 0 {
		return exitFailure
	}
	return exitSuccess
}
