// Command standin-3 plays the cases of the third review with boxes, workers and a store as processes on loopback. It
// exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// cases are the cases by name. Each reports whether the rule was broken. trouble is false for the play without the
// disruption.
var cases = map[string]func(h *harness, trouble bool) (broken bool, err error){
	"fragments":  fragments,
	"lasting":    lasting,
	"pending":    pending,
	"quarantine": quarantine,
}

func main() {
	if len(os.Args) == 6 && os.Args[1] == "worker" {
		slots, err := strconv.ParseInt(os.Args[4], 10, 64)
		accelerators, otherErr := strconv.ParseInt(os.Args[5], 10, 64)
		if err = errors.Join(err, otherErr); err == nil {
			err = runWorker(os.Args[2], os.Args[3], slots, accelerators)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns the exit code.
func play(name, folder string, trouble bool) int {
	h, err := newHarness(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer h.close()
	h.note("case %s, disruption: %t", name, trouble)
	broken, err := cases[name](h, trouble)
	switch {
	case err != nil:
		h.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		h.note("the rule was broken")
		return 1
	}
	h.note("the rule held")
	return 0
}
