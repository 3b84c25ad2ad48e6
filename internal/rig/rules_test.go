package rig_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/rig"
)

// envRules is set to a number of seeds to enable TestRulesCaught, which builds the program without each rule and
// takes minutes per rule.
const envRules = "PULLEYRING_RULES"

// rule is a safety rule of the product, with the change of the source that drops it.
type rule struct {
	name, file, text, replacement string
	scenario                      string // A scenario that detects what the seeds may miss; empty if there is none.
}

// readRules reads testdata/rules.txt.
func readRules(t *testing.T) (rules []rule) {
	raw, err := os.ReadFile("testdata/rules.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, block := range strings.Split(string(raw), "\n= ")[1:] {
		lines := strings.Split(block, "\n")
		r := rule{name: lines[0], file: strings.TrimPrefix(lines[1], "file ")}
		for _, line := range lines[2:] {
			switch {
			case strings.HasPrefix(line, "scenario "):
				r.scenario = strings.TrimPrefix(line, "scenario ")
			case strings.HasPrefix(line, "-"):
				r.text += line[1:] + "\n"
			case strings.HasPrefix(line, "+"):
				r.replacement += line[1:] + "\n"
			}
		}
		rules = append(rules, r)
	}
	return rules
}

// source returns the path of a rule's file, and the file's text without the rule.
func (r *rule) source(t *testing.T) (path, without string) {
	path, err := filepath.Abs(filepath.Join("..", "..", r.file))
	quicktest.Assert(t, err, quicktest.IsNil)
	raw, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, strings.Count(string(raw), r.text), quicktest.Equals, 1, quicktest.Commentf("%s: %s", r.name, r.file))
	return path, strings.Replace(string(raw), r.text, r.replacement, 1)
}

// TestRules checks that the source text that testdata/rules.txt drops for each rule still exists exactly once.
func TestRules(t *testing.T) {
	for _, r := range readRules(t) {
		r.source(t)
	}
}

// TestRulesCaught checks that the soak detects a missing safety rule: without each rule, drawn scenarios must show a
// violation within a few seeds. It runs only by hand, with envRules set.
func TestRulesCaught(t *testing.T) {
	seeds, err := strconv.Atoi(os.Getenv(envRules))
	if err != nil {
		t.Skip("set " + envRules + " to a number of seeds")
	}
	for _, r := range readRules(t) {
		t.Run(strings.ReplaceAll(r.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			program := buildWithout(t, &r)
			for seed := range seeds {
				var out bytes.Buffer
				s := &rig.Soak{Options: rig.Options{Program: program, Dir: t.TempDir(), Out: &out}, Seed: uint64(seed + 1), Seeds: 1, Length: 20 * time.Second}
				o, err := s.Run(context.Background())
				quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", out.String()))
				if len(o.Broken) > 0 {
					t.Logf("caught after %d seeds: %d broken, %s", seed+1, len(o.Broken), o.Broken[0])
					return
				}
			}
			if r.scenario == "" {
				t.Fatalf("not caught by %d seeds", seeds)
			}
			raw, err := os.ReadFile(filepath.Join("scenarios", r.scenario+".txt"))
			quicktest.Assert(t, err, quicktest.IsNil)
			scenario, err := rig.Parse(string(raw))
			quicktest.Assert(t, err, quicktest.IsNil)
			v, err := rig.Play(context.Background(), scenario, rig.Options{Program: program, Dir: t.TempDir(), Out: io.Discard})
			quicktest.Assert(t, err, quicktest.IsNil)
			t.Logf("not caught by %d seeds; by the scenario %s: %s", seeds, r.scenario, v)
			quicktest.Check(t, len(v.Broken()) > 0, quicktest.IsTrue)
		})
	}
}

// buildWithout builds the program without a rule.
func buildWithout(t *testing.T, r *rule) string {
	path, without := r.source(t)
	dir := t.TempDir()
	changed, program := filepath.Join(dir, "changed.go"), filepath.Join(dir, "pulleyring")
	quicktest.Assert(t, os.WriteFile(changed, []byte(without), 0o600), quicktest.IsNil)
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	quicktest.Assert(t, err, quicktest.IsNil)
	file := filepath.Join(dir, "overlay.json")
	quicktest.Assert(t, os.WriteFile(file, overlay, 0o600), quicktest.IsNil)
	out, err := exec.Command("go", "build", "-overlay", file, "-o", program, "../..").CombinedOutput()
	quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%s", out))
	return program
}
