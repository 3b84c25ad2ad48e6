package cli

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pulleyring/pulleyring/internal/logline"
)

// runExplain prints the log lines of several boxes about a job or task, ordered by time.
func runExplain(e *env, args []string) int {
	set := e.flags("explain")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() < 2 {
		return e.usageError("explain", "want a job or task, and logs or directories of them")
	}
	lines, err := readLogs(e, set.Args()[1:])
	if err != nil {
		return e.fail(exitUsage, err)
	}
	about := logline.About(set.Arg(0), lines)
	for i := range about {
		fmt.Fprintln(e.out, about[i].String())
	}
	if len(about) == 0 {
		fmt.Fprintf(e.out, "no line of %d is about %s\n", len(lines), set.Arg(0))
		return exitFailure
	}
	return exitSuccess
}

// readLogs parses log files and the *.log files of directories. It prints how many lines are not JSON.
func readLogs(e *env, paths []string) (lines []logline.Line, err error) {
	for _, path := range paths {
		files := []string{path}
		if info, statErr := os.Stat(path); statErr == nil && info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.log")); err != nil {
				return nil, err
			}
		}
		for _, file := range files {
			f, err := os.Open(file)
			if err != nil {
				return nil, err
			}
			read, skipped, err := logline.Read(f)
			_ = f.Close()
			if err != nil {
				return nil, err
			}
			if skipped > 0 {
				fmt.Fprintf(e.err, "%s: %d lines are no JSON\n", file, skipped)
			}
			lines = append(lines, read...)
		}
	}
	return lines, nil
}
