package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pulleyring/pulleyring/pkg/request"
	"github.com/rs/xid"
)

func runSubmit(e *env, args []string) int {
	set := e.flags("submit")
	var a access
	a.add(set)
	s := request.Submission{}
	id := set.String("id", "", "`id` of the request; empty makes one")
	set.StringVar(&s.Kind, "kind", "", "`kind` of work, such as tower_dump")
	set.StringVar(&s.Workspace, "workspace", "", "`workspace` that answers for it")
	set.IntVar(&s.Gang, "gang", 0, "`members` that run together; 0 sends it to an executor")
	set.IntVar(&s.Shape.CPUs, "cpus", 0, "`cores` of each member")
	set.IntVar(&s.Shape.MemoryGB, "memory", 0, "`GB` of each member")
	set.IntVar(&s.Shape.Accelerators, "accelerators", 0, "`devices` of each member")
	set.Float64Var(&s.DeclaredSeconds, "declared", 0, "expected run time in `seconds`")
	set.Float64Var(&s.DeadlineSeconds, "deadline", 0, "`seconds` from which an answer is of no use; 0 means none")
	set.BoolVar(&s.Urgent, "urgent", false, "start at once where the guarantee covers it")
	set.BoolVar(&s.AtMostOnce, "once", false, "never run twice")
	set.BoolVar(&s.Checkpoints, "checkpoints", false, "its members can be checkpointed")
	set.StringVar(&s.OnOutage, "on-outage", "wait", "`what` to do while the table is out: wait or refuse")
	payload := set.String("payload", "{}", "`JSON` for the back end")
	wait := set.Duration("wait", 10*time.Second, "`time` to wait for the outcome")
	format := set.String("format", "text", "`format`: text or json")
	if code, done := e.parse(set, args); done {
		return code
	}
	if set.NArg() > 0 || !validFormat(*format) {
		return e.usageError("submit", "options only, and -format text or json")
	}
	if !json.Valid([]byte(*payload)) {
		return e.usageError("submit", "-payload is no JSON")
	}
	s.Payload = json.RawMessage(*payload)
	client, err := a.client()
	if err != nil {
		return e.fail(exitUsage, err)
	}
	if *id == "" {
		*id = xid.New().String()
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout+*wait)
	defer cancel()
	reply, err := client.Submit(ctx, *id, s, *wait)
	if err != nil {
		return e.fail(exitFailure, err)
	}
	return printReply(e, reply, *format)
}

func validFormat(format string) bool { return format == "text" || format == "json" }

// printReply prints the reply and returns the exit code, which is 0 only if the request is done or accepted.
func printReply(e *env, r request.Reply, format string) int {
	if format == "json" {
		raw, _ := json.Marshal(r) // Encoding a decoded reply never fails.
		fmt.Fprintln(e.out, string(raw))
	} else {
		fmt.Fprintf(e.out, "%s: %s", r.ID, r.Outcome)
		if r.Reason != "" {
			fmt.Fprintf(e.out, ": %s", r.Reason)
		}
		if r.RetryAfterSeconds > 0 {
			fmt.Fprintf(e.out, "; come back in %d s", r.RetryAfterSeconds)
		}
		fmt.Fprintln(e.out)
		if len(r.Answer) > 0 {
			fmt.Fprintln(e.out, string(r.Answer))
		}
	}
	if r.Outcome == request.Done || r.Outcome == request.Accepted {
		return exitSuccess
	}
	return exitFailure
}
