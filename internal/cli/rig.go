package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pulleyring/pulleyring/internal/rig"
)

// runRig plays a scenario with real processes. Started as "rig role NAME", it runs as one of these processes.
func runRig(e *env, args []string) int {
	if len(args) == 2 && args[0] == "role" {
		if err := rig.RunRole(args[1], os.Stdin, e.out); err != nil {
			return e.fail(exitFailure, err)
		}
		return exitSuccess
	}
	set := e.flags("rig")
	keep := set.String("keep", "", "`directory` where the logs of all processes are kept")
	if len(args) > 0 && args[0] == "play" {
		args = args[1:]
	}
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() != 1 {
		return e.usageError("rig", "want one scenario")
	}
	raw, err := os.ReadFile(set.Arg(0))
	if err != nil {
		return e.fail(exitUsage, err)
	}
	scenario, err := rig.Parse(string(raw))
	if err != nil {
		return e.fail(exitUsage, err)
	}
	verdict, err := playRig(e, scenario, *keep)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	for _, text := range verdict.Broken() {
		fmt.Fprintln(e.out, text)
	}
	fmt.Fprintln(e.out, verdict)
	if len(verdict.Broken()) > 0 {
		return exitFailure
	}
	return exitSuccess
}

// playRig plays a scenario until its end or an interrupt. If keep names no directory, the logs are deleted afterwards.
func playRig(e *env, scenario *rig.Scenario, keep string) (*rig.Verdict, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	if keep == "" {
		if keep, err = os.MkdirTemp("", "pulleyring-rig-"); err != nil {
			return nil, err
		}
		defer os.RemoveAll(keep)
	}
	if err := os.MkdirAll(keep, 0o700); err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return rig.Play(ctx, scenario, rig.Options{Program: program, Dir: keep, Out: e.out})
}
