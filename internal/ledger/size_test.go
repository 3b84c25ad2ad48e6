package ledger

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/life"
)

// rowMost is the longest value of a row, in bytes (the platform's rowBytes).
const rowMost = 65536

// TestProgressFitsIntoARow: a job with as many tasks as it may have is one row, with names, starts, runs and saved states as long as they come.
func TestProgressFitsIntoARow(t *testing.T) {
	p := &job.Progress{State: job.Running, GangRuns: make([]int, 64)}
	for range job.MaxTasks {
		p.Tasks = append(p.Tasks, job.TaskProgress{
			State: job.Placed, Run: 300, Failures: 20, Worker: life.ID{Worker: "i-83f60f8f38", Born: 1792504406446}, Saved: "00000bb87a21d94b",
		})
	}
	raw, err := cbor.Marshal(p)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(raw) < rowMost, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(raw)))
}

// TestAddressesFitIntoRows: at 12,000 workers with long names the largest row of addresses is under half of what the store takes, so is all that one
// worker's coming or going writes, and a batch with as many of these rows as it may have stays within a transaction.
func TestAddressesFitIntoRows(t *testing.T) {
	rows := map[int]Addresses{}
	for n := range 12000 {
		worker := fmt.Sprintf("executor-with-long-name-%05d", n)
		row := AddressRow(worker)
		if rows[row] == nil {
			rows[row] = Addresses{}
		}
		rows[row][life.ID{Worker: worker, Born: 1792504406446}] = "10.123.45.67:12345"
	}
	largest := 0
	for _, addresses := range rows {
		raw, err := cbor.Marshal(addresses)
		quicktest.Assert(t, err, quicktest.IsNil)
		largest = max(largest, len(raw))
	}
	quicktest.Check(t, largest < rowMost/2, quicktest.IsTrue, quicktest.Commentf("%d bytes", largest))
	quicktest.Check(t, largest*MaxAddressRows < 1<<20/2, quicktest.IsTrue, quicktest.Commentf("%d bytes in a batch", largest*MaxAddressRows))
	quicktest.Check(t, MaxBatchRows+2+MaxForgetRows+MaxAddressRows+3 <= 100, quicktest.IsTrue)
}
