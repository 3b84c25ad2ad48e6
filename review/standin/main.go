// Command standin plays the review's scripts: it starts the project's boxes as processes, with stand-ins of the users'
// platform, and checks one rule. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	runtime.LockOSThread() // The boxes end with the thread that started them, see site.run.
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(j *journal, trouble bool) (int, error){
		"cancel":     playCancel,
		"freeze":     playFreeze,
		"standstill": playStandstill,
	}
	play := cases[os.Args[1]]
	j, err := newJournal(os.Args[2])
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or the record can't be written:", err)
		os.Exit(exitNotRun)
	}
	code, err := play(j, os.Getenv("TROUBLE") != "0")
	if err != nil {
		j.print("the case could not run: %v", err)
		code = exitNotRun
	}
	j.print("exit %d", code)
	os.Exit(code)
}
