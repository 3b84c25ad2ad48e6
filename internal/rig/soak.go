package rig

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Soak plays randomly drawn scenarios one after the other.
type Soak struct {
	Options
	Seed   uint64
	Seeds  int
	Length time.Duration // Time in which each play submits jobs.
	Keep   bool          // Keep the logs of plays without violations too.
}

// Outcome is the result of a soak.
type Outcome struct {
	Plays, Checked int
	Broken         []string
	Seeds          []uint64       // Seeds with violations.
	Faults         map[string]int // Number of injected faults, by kind.
}

// String returns a summary of the outcome in one line.
func (o *Outcome) String() string {
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(o.Faults)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, o.Faults[kind]))
	}
	return fmt.Sprintf("soak: plays %d, promises checked %d, broken %d, seeds %v, faults: %s", o.Plays, o.Checked, len(o.Broken), o.Seeds, strings.Join(kinds, ", "))
}

// Run plays all seeds, or until ctx ends. It keeps the scenario and the logs of a play with violations.
func (s *Soak) Run(ctx context.Context) (*Outcome, error) {
	o := &Outcome{Faults: map[string]int{}}
	for i := range s.Seeds {
		if err := s.play(ctx, s.Seed+uint64(i), o); err != nil {
			return o, err
		}
	}
	return o, nil
}

func (s *Soak) play(ctx context.Context, seed uint64, o *Outcome) error {
	text := Draw(seed, s.Length)
	scenario, err := Parse(text)
	if err != nil {
		return err
	}
	options := s.Options
	options.Dir = filepath.Join(s.Dir, fmt.Sprintf("seed-%d", seed))
	err = os.RemoveAll(options.Dir) // Files of an earlier soak.
	if err == nil {
		err = os.MkdirAll(options.Dir, 0o700)
	}
	if err != nil {
		return errors.Wrap(err, "rig: unable to prepare the directory for logs")
	}
	if err := os.WriteFile(filepath.Join(options.Dir, "scenario.txt"), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "rig: unable to write the scenario")
	}
	fmt.Fprintf(s.Out, "seed %d\n", seed)
	v, err := Play(ctx, scenario, options)
	if err != nil {
		return errors.WithMessagef(err, "seed %d", seed)
	}
	for kind, n := range v.Faults {
		o.Faults[kind] += n
	}
	o.Plays++
	o.Checked += v.Checked
	for _, text := range v.Broken() {
		o.Broken = append(o.Broken, text)
		fmt.Fprintf(s.Out, "seed %d broken: %s\n", seed, text)
	}
	fmt.Fprintf(s.Out, "seed %d: %s\n", seed, v)
	if len(v.Broken()) > 0 {
		o.Seeds = append(o.Seeds, seed)
		return nil
	}
	if s.Keep {
		return nil
	}
	return errors.Wrap(os.RemoveAll(options.Dir), "rig: unable to remove logs")
}
