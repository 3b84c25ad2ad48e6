package rig_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/rig"
)

// TestSoak plays the scenarios of two seeds: one with all kinds of faults, and one with planned shutdowns and
// configuration changes only.
func TestSoak(t *testing.T) {
	program, err := os.Executable()
	quicktest.Assert(t, err, quicktest.IsNil)
	for name, seed := range map[string]uint64{"faults": 11, "planned": 6} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			dir := t.TempDir()
			s := &rig.Soak{
				Options: rig.Options{Program: program, Env: []string{envProgram + "=1"}, Dir: dir, Out: &out}, Seed: seed, Seeds: 1, Length: 10 * time.Second, Keep: true,
			}
			o, err := s.Run(context.Background())
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", out.String()))
			quicktest.Check(t, o.Checked > 0, quicktest.IsTrue)
			if len(o.Broken) > 0 {
				t.Errorf("%s\n%s", out.String(), warnings(t, filepath.Join(dir, "seed-*")))
			}
		})
	}
}

// TestInterrupted checks that a play whose context is cancelled ends promptly, with all of its processes.
func TestInterrupted(t *testing.T) {
	program, err := os.Executable()
	quicktest.Assert(t, err, quicktest.IsNil)
	scenario, err := rig.Parse("until 60s\nat 0s client submit 3 30s\nat 1s w1 stop\nat 50s w1 continue")
	quicktest.Assert(t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	out := &cancelWriter{after: "w1 stop", interrupt: cancel}
	began := time.Now()
	_, err = rig.Play(ctx, scenario, rig.Options{Program: program, Env: []string{envProgram + "=1"}, Dir: t.TempDir(), Out: out})
	quicktest.Assert(t, err, quicktest.ErrorIs, context.Canceled)
	quicktest.Check(t, time.Since(began) < 40*time.Second, quicktest.IsTrue)
}

// cancelWriter cancels a play after a step has been printed.
type cancelWriter struct {
	after     string
	interrupt func()
}

func (i *cancelWriter) Write(raw []byte) (int, error) {
	if strings.Contains(string(raw), i.after) {
		i.interrupt()
	}
	return len(raw), nil
}

// TestDraw checks that a seed always gives the same scenario, and that Parse reads it.
func TestDraw(t *testing.T) {
	for seed := range uint64(200) {
		text := rig.Draw(seed, 30*time.Second)
		quicktest.Assert(t, rig.Draw(seed, 30*time.Second), quicktest.Equals, text)
		_, err := rig.Parse(text)
		quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("seed %d", seed))
	}
}
