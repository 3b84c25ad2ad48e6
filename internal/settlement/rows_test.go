package settlement

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pulleyring/pulleyring/internal/table"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"github.com/pulleyring/pulleyring/pkg/request"
)

// TestStoredRowsKeepTheirBytes fails when a change of the code alters stored rows, as a renamed field can. Each
// value must be encoded as in testdata/rows.txt (key, space, JSON), and the JSON there be decoded as the value.
func TestStoredRowsKeepTheirBytes(t *testing.T) {
	id := request.Identity{Caller: "c", ID: "i"}
	at := time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)
	submission := request.Submission{
		Kind: "k", Workspace: "w", Gang: 2, Shape: contract.Shape{CPUs: 1, MemoryGB: 2, Accelerators: 3}, DeclaredSeconds: 4.5,
		DeadlineSeconds: 5.5, Urgent: true, AtMostOnce: true, Checkpoints: true, OnOutage: "wait", Payload: json.RawMessage(`{"p":1}`),
	}
	raw, err := os.ReadFile("testdata/rows.txt")
	qt.Assert(t, err, qt.IsNil)
	stored := map[string]string{}
	for line := range strings.Lines(string(raw)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		stored[key] = value
	}
	for key, value := range map[string]any{
		RequestKey(id): Record{
			Identity: id, Submission: submission, Round: 1, Received: at, Outcome: request.Unresolved, Reason: "r",
			Answer: json.RawMessage(`{"a":1}`), AnswerObject: "o", Attempt: 2, Hall: "h",
			Sending: &Sending{Box: "b", Upstream: "u", Attempt: "a"},
		},
		JobKey("h", id): Job{
			Identity: id, Submission: submission, Round: 1, Received: at, Box: "b", State: Stopping, Number: 2, Attempt: "a",
			Rack: "r", Placements: []Placement{{Worker: "w", Members: []int{0, 1}, Devices: []int{2, 3}}}, Started: at, Done: 1.5, Stops: 3,
			Moves: 4, Failures: []string{"w"}, Losses: 5, LateLosses: 6, Ran: true,
			Halt: &Halt{Reason: "r", AtOnce: true, Cancel: true, Lost: true}, Unsettled: true,
		},
		RackKey("h", "r"):     Rack{Attempts: []string{"a"}},
		PendingRequestKey(id): PendingRequest{Identity: id, Box: "b", Expires: at},
	} {
		write := table.Put(key, value)
		qt.Check(t, string(write.Value), qt.Equals, stored[key], qt.Commentf("%s", key))
		decoded := reflect.New(reflect.TypeOf(value))
		row := table.Row{Key: key, Value: json.RawMessage(stored[key])}
		qt.Assert(t, Decode(row, decoded.Interface()), qt.IsNil)
		qt.Check(t, decoded.Elem().Interface(), qt.DeepEquals, value, qt.Commentf("%s", key))
		delete(stored, key)
	}
	qt.Check(t, stored, qt.HasLen, 0)
}
