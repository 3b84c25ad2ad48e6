// Command standin-2 plays the cases of this folder's review: it stands in for the users' platform, starts the project's
// boxes as processes, and reports whether a rule was broken.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Each plays with the disruption if trouble is set.
var cases = map[string]func(s *site, trouble bool) (verdict, error){}

// maxTime is the longest time that a case may take.
const maxTime = 118 * time.Second

func main() {
	name := flag.String("case", "", "`name` of the case")
	program := flag.String("program", "target/pulleyring", "`path` of the project's program")
	out := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.String("keep", "", "`folder` for settings and logs; empty for a temporary one")
	flag.Parse()
	os.Exit(run(*name, *program, *out, *keep, *trouble))
}

func run(name, program, out, keep string, trouble bool) int {
	play := cases[name]
	if play == nil {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Println("cases:", strings.Join(names, " "))
		return exitNotRun
	}
	file, err := os.Create(out)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer file.Close()
	rec := &record{out: file}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Println(err)
			return exitNotRun
		}
		defer os.RemoveAll(dir)
	}
	s, err := newSite(program, dir, rec)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer s.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(s, trouble)
		done <- result{v, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			rec.write("judge", "could not run", "error", r.err)
			fmt.Println("could not run:", r.err)
			return exitNotRun
		}
		if ended := s.ended(); len(ended) > 0 {
			rec.write("judge", "boxes that ended by themselves", "boxes", strings.Join(ended, ","))
			r.verdict.text += "; boxes that ended by themselves: " + strings.Join(ended, ",")
		}
		rec.write("judge", r.verdict.text, "broken", r.verdict.broken)
		fmt.Println(r.verdict.text)
		if r.verdict.broken {
			return exitBroken
		}
		return exitHeld
	case <-signals:
	case <-time.After(maxTime):
		rec.write("judge", "could not run in time")
		fmt.Println("could not run in time")
	}
	return exitNotRun
}
