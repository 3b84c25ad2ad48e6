package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pulleyring/pulleyring/internal/rig"
)

// runRig plays a scenario with real processes, or is one of them.
func runRig(e *env, args []string) int {
	if len(args) > 0 && rig.IsRole(args[0]) {
		if err := rig.RunRole(args, os.Stdin, e.out); err != nil {
			return e.fail(exitBad, err)
		}
		return exitGood
	}
	if len(args) > 0 && args[0] == "play" {
		args = args[1:]
	}
	set := e.flags("rig")
	keep := set.String("keep", "", "`directory` where the logs of all processes are kept")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() != 1 {
		return e.usageError("rig", "want one scenario")
	}
	return playRig(e, set.Arg(0), *keep)
}

func playRig(e *env, file, keep string) int {
	raw, err := os.ReadFile(file)
	if err != nil {
		return e.fail(exitUsage, err)
	}
	scenario, err := rig.Parse(string(raw))
	if err != nil {
		return e.fail(exitUsage, err)
	}
	program, err := os.Executable()
	if err != nil {
		return e.fail(exitBad, err)
	}
	if keep == "" {
		if keep, err = os.MkdirTemp("", "pulleyring-rig-"); err != nil {
			return e.fail(exitBad, err)
		}
		defer os.RemoveAll(keep)
	}
	if err := os.MkdirAll(keep, 0o700); err != nil {
		return e.fail(exitBad, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	verdict, err := rig.Play(ctx, scenario, rig.Options{Program: program, Dir: keep, Out: e.out})
	if err != nil {
		return e.fail(exitBad, err)
	}
	for _, list := range [][]string{verdict.Twice, verdict.Budget, verdict.Unended, verdict.Failed} {
		for _, text := range list {
			fmt.Fprintln(e.out, text)
		}
	}
	fmt.Fprintln(e.out, verdict)
	if !verdict.Good() {
		return exitBad
	}
	return exitGood
}
