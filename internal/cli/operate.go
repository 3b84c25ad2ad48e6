package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pulleyring/pulleyring/internal/command"
	"github.com/pulleyring/pulleyring/internal/timeline"
)

func runAsk(e *env, args []string) int {
	set := e.flags("ask")
	var a access
	a.add(set)
	format := set.String("format", "text", "`format`: text or json")
	usage := set.Usage
	set.Usage = func() {
		usage()
		fmt.Fprintf(set.Output(), "commands:\n%s", command.Forms)
	}
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() == 0 || !validFormat(*format) {
		return e.usageError("ask", "a command is required, and -format text or json")
	}
	body, _ := json.Marshal(struct { // Encoding a string never fails.
		Command string `json:"command"`
	}{strings.Join(set.Args(), " ")})
	raw, code := e.operate(&a, http.MethodPost, "/v1/ask", nil, body)
	if code != exitSuccess {
		return code
	}
	var list command.List
	if err := json.Unmarshal(raw, &list); err != nil {
		return e.fail(exitFailure, err)
	}
	if *format == "json" {
		fmt.Fprintln(e.out, string(raw))
	} else {
		fmt.Fprintln(e.out, list.String())
	}
	return exitSuccess
}

// operate sends an operator's HTTP request. It returns the body of the reply and exitSuccess, or prints the error and
// returns another exit code.
func (e *env) operate(a *access, method, path string, header http.Header, body []byte) ([]byte, int) {
	client, err := a.client()
	if err != nil {
		return nil, e.fail(exitUsage, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	raw, err := client.Operate(ctx, method, path, header, body)
	if err != nil {
		return nil, e.fail(exitFailure, err)
	}
	return raw, exitSuccess
}

func runApply(e *env, args []string) int {
	set := e.flags("apply")
	var a access
	a.add(set)
	format := set.String("format", "text", "`format`: text or json")
	replaces := set.Int64("replaces", -1, "`version` that it is meant to replace; -1 means the one in force")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() != 1 || !validFormat(*format) {
		return e.usageError("apply", "one site configuration is required, and -format text or json")
	}
	text, _, err := loadSite(set.Arg(0))
	if err != nil {
		printFindings(e, set.Arg(0), err)
		return exitUsage
	}
	header := http.Header{}
	if *replaces >= 0 {
		header.Set("If-Match", strconv.FormatInt(*replaces, 10))
	}
	raw, code := e.operate(&a, http.MethodPut, "/v1/site", header, []byte(text))
	if code != exitSuccess {
		return code
	}
	var reply struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return e.fail(exitFailure, err)
	}
	if *format == "json" {
		fmt.Fprintln(e.out, string(raw))
		return exitSuccess
	}
	fmt.Fprintf(e.out, "version %d is committed\n", reply.Version)
	return exitSuccess
}

func runTimeline(e *env, args []string) int {
	set := e.flags("timeline")
	var a access
	a.add(set)
	job := set.String("job", "", "`job` or request to follow, CALLER/ID or ID; empty shows all")
	format := set.String("format", "text", "`format`: text or json")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 || !validFormat(*format) {
		return e.usageError("timeline", "options only, and -format text or json")
	}
	raw, code := e.operate(&a, http.MethodGet, "/v1/timeline?job="+*job, nil, nil)
	if code != exitSuccess {
		return code
	}
	var reply struct {
		Events []timeline.Event `json:"events"`
	}
	if err := json.Unmarshal(raw, &reply); err != nil {
		return e.fail(exitFailure, err)
	}
	if *format == "json" {
		fmt.Fprintln(e.out, string(raw))
		return exitSuccess
	}
	for _, v := range reply.Events {
		at := time.Unix(0, v.Stamp.Wall).UTC().Format("15:04:05.000000")
		fmt.Fprintf(e.out, "%s.%d  %-8s %-9s %-14s %-28s %s\n", at, v.Stamp.Count, v.Box, v.Part, v.Hall, v.Job, v.Text)
	}
	return exitSuccess
}
