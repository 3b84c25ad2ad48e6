package rig_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/cli"
	"github.com/pulleyring/pulleyring/internal/rig"
)

// envProgram is set for the processes of a play: the test binary then runs as the program.
const envProgram = "PULLEYRING_RIG_TEST"

func TestMain(m *testing.M) {
	if os.Getenv(envProgram) != "" {
		os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// TestRig plays scenarios in which tasks ran twice, because the scheduler took a live worker for ended. A closed proxy
// refuses connections just as an ended process does, but the worker behind it continues until its lease expires: its
// runs were started elsewhere 9.4 s before that, and six tasks ran on two workers for four seconds. The same happened
// to a worker that had announced its departure, after a single lost answer, and to one that was stopped for 4 s while
// its record expired.
func TestRig(t *testing.T) {
	for _, name := range []string{"proxy_closed", "leaving_serves_on", "worker_stopped_longer"} {
		t.Run(name, func(t *testing.T) { play(t, name) })
	}
}

// TestDuplicateBox plays a box that is started a second time, at other addresses, while the first process lives. Both
// took the lease from each other every 60 to 300 ms and jobs never ended. The later process must schedule and the
// earlier one must end by itself, with all promises to clients kept.
func TestDuplicateBox(t *testing.T) { play(t, "box_twice") }

// TestCrashLoopingJob plays a worker that is killed and restarted, each time within half a second after the start of
// the only task. A task whose workers are killed looks like one that crashes its workers, so its job may be
// failed after three kills under one task, but not after two. The users allow it from the second crashed worker on. A
// drawn scenario with three such kills first showed a sound job as failed.
func TestCrashLoopingJob(t *testing.T) {
	for _, name := range []string{"killed_thrice", "killed_twice"} {
		t.Run(name, func(t *testing.T) { play(t, name) })
	}
}

// TestRestartedWorkers plays workers that are killed and restarted under their own names. Their clocks and the numbers
// of their ends start anew. They were taken for those of the earlier incarnation, so that finished tasks started
// again elsewhere and others waited beside ready workers.
func TestRestartedWorkers(t *testing.T) { play(t, "started_again") }

func play(t *testing.T, name string) {
	raw, err := os.ReadFile(filepath.Join("scenarios", name+".txt"))
	quicktest.Assert(t, err, quicktest.IsNil)
	scenario, err := rig.Parse(string(raw))
	quicktest.Assert(t, err, quicktest.IsNil)
	program, err := os.Executable()
	quicktest.Assert(t, err, quicktest.IsNil)
	var out bytes.Buffer
	dir := t.TempDir()
	verdict, err := rig.Play(context.Background(), scenario, rig.Options{Program: program, Env: []string{envProgram + "=1"}, Dir: dir, Out: &out})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, verdict.Starts >= 1, quicktest.IsTrue)
	if broken := verdict.Broken(); len(broken) > 0 {
		t.Errorf("%s\n%s\n%s", verdict, strings.Join(broken, "\n"), warnings(t, dir))
	}
}

// warnings returns the warnings in the logs of a play's boxes.
func warnings(t *testing.T, dir string) string {
	logs, err := filepath.Glob(filepath.Join(dir, "box-?.log"))
	quicktest.Assert(t, err, quicktest.IsNil)
	var found []string
	for _, file := range logs {
		raw, err := os.ReadFile(file)
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.Contains(line, `"level":"warn"`) {
				found = append(found, line)
			}
		}
	}
	return strings.Join(found, "\n")
}
