package rig_test

import (
	"bytes"
	"context"
	"encoding/json"
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

// envRules is set to a number of seeds for TestRulesCaught, which builds the program without each rule and takes minutes for each.
const envRules = "PULLEYRING_RULES"

// rule is a safety rule of the product, and how it is dropped.
type rule struct {
	name, file, text, without string
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
			case strings.HasPrefix(line, "-"):
				r.text += line[1:] + "\n"
			case strings.HasPrefix(line, "+"):
				r.without += line[1:] + "\n"
			}
		}
		rules = append(rules, r)
	}
	return rules
}

// source is the file of a rule, and the same without the rule.
func (r *rule) source(t *testing.T) (path, without string) {
	path, err := filepath.Abs(filepath.Join("..", "..", r.file))
	quicktest.Assert(t, err, quicktest.IsNil)
	raw, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, strings.Count(string(raw), r.text), quicktest.Equals, 1, quicktest.Commentf("%s: %s", r.name, r.file))
	return path, strings.Replace(string(raw), r.text, r.without, 1)
}

// TestRules holds that the rules stand where testdata/rules.txt drops them.
func TestRules(t *testing.T) {
	for _, r := range readRules(t) {
		r.source(t)
	}
}

// TestRulesCaught shows that the checks of the soak catch what they are for: without each of the rules, drawn plays must break a promise within a
// few seeds. It is started by hand.
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
			t.Errorf("not caught by %d seeds", seeds)
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
