package rig_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/rig"
)

// TestSoak plays the scenarios of three seeds: one with all kinds of faults, one with planned shutdowns, configuration
// changes and a load above the capacity only, and one with faults, such a load and workers of uneven speed.
func TestSoak(t *testing.T) {
	program, err := os.Executable()
	quicktest.Assert(t, err, quicktest.IsNil)
	for name, seed := range map[string]uint64{"faults": 11, "planned": 6, "uneven": 8} {
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

// unchangedDraws is the SHA-256 of the scenarios of the first 200 seeds without uneven workers and overload, as they
// were drawn before these were added.
const unchangedDraws = "8b80370f8c8901ef22234d425d83754e534dfceefce4a0bf58eb042ca3e24491"

// TestDrawUnchanged checks that seeds whose scenarios have neither uneven workers nor an overload give the same
// scenarios as before these were added, so that violations found earlier can be played again. It also checks that both
// occur, alone and together.
func TestDrawUnchanged(t *testing.T) {
	hash, counts := sha256.New(), map[string]int{}
	for seed := range uint64(200) {
		text, kind := rig.Draw(seed, 30*time.Second), ""
		for _, word := range []string{"uneven", "Overload"} {
			if strings.Contains(text, word) {
				kind += word
			}
		}
		if counts[kind]++; kind == "" {
			hash.Write([]byte(text))
		}
	}
	quicktest.Check(t, hex.EncodeToString(hash.Sum(nil)), quicktest.Equals, unchangedDraws)
	for _, kind := range []string{"uneven", "Overload", "unevenOverload"} {
		quicktest.Check(t, counts[kind] > 5, quicktest.IsTrue, quicktest.Commentf("%s: %d", kind, counts[kind]))
	}
}
