package ledger

import (
	"cmp"
	"context"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableOverflow holds the workers and saved states of jobs whose progress does not fit into its row. The row in
// tableProgress then holds everything else. Boxes of earlier versions ignore the table.
const tableOverflow = "overflow"

const (
	// defaultRowBytes is the largest value of a row that the store takes if the settings don't tell.
	defaultRowBytes = 65536
	// overflowPageRows is the number of rows of overflow that are read first: each may be as large as the store allows.
	overflowPageRows = 4
	// taskBytes and groupBytes are the largest encoded sizes of a task without texts and of an entry of GangRuns.
	taskBytes, groupBytes = 16, 5
	// headRowBytes is the largest encoded size of the fields of a row beside its lists.
	headRowBytes = 32
	// startTimeBytes is the size of a worker's start time in an encoded incarnation, with its separator.
	startTimeBytes = 14
)

// overflowRow is a part of a job's overflow.
type overflowRow struct {
	_       struct{}         `cbor:",toarray"`
	Workers []incarnation.ID // Each worker once, however many tasks it has.
	Tasks   []overflowTask
}

// overflowTask holds the texts of a task.
type overflowTask struct {
	_      struct{} `cbor:",toarray"`
	Index  int      // In the progress.
	Run    int      // Number of the last run. The entry is outdated if the progress has another one.
	Worker int      // Index in Workers.
	Saved  string
}

// rowLimit returns the largest encoded value that the ledger puts into a row. Base64 turns 3 bytes into 4, and the
// store's limit may apply to either.
func (l *Ledger) rowLimit() int { return cmp.Or(l.RowBytes, defaultRowBytes) / 4 * 3 }

// headBytes returns the size of an encoded number, or of the head of an encoded text or list of that length.
func headBytes(n int) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	}
	return 5
}

func textBytes(length int) int { return headBytes(length) + length }

func incarnationBytes(l incarnation.ID) int { return textBytes(len(l.Worker) + startTimeBytes) }

// inlineBytes returns the encoded size of progress with the texts of its tasks in the same row, or slightly more.
func inlineBytes(p *job.Progress) int {
	n := headRowBytes + groupBytes*len(p.GangRuns)
	for i := range p.Tasks {
		t := &p.Tasks[i]
		n += 2 + headBytes(t.Run) + headBytes(t.Failures) + incarnationBytes(t.Worker) + textBytes(len(t.Saved))
	}
	return n
}

// minProgressBytes returns the largest encoded size of the progress of a job without texts.
func minProgressBytes(r *job.Request) int {
	return headRowBytes + r.Occurrences()*(groupBytes*len(r.Steps)+taskBytes*r.TasksPerOccurrence())
}

// splitProgress returns the progress as it is stored in its row, and the rows of its overflow; none if everything fits
// into the row.
func (l *Ledger) splitProgress(p *job.Progress) (*job.Progress, []overflowRow) {
	if inlineBytes(p) <= l.rowLimit() {
		return p, nil
	}
	short := *p
	short.Tasks = make([]job.TaskProgress, len(p.Tasks))
	w := overflowWriter{limit: l.rowLimit()}
	for i := range p.Tasks {
		t := p.Tasks[i]
		if t.Run > 0 {
			w.add(i, &t)
			t.Worker, t.Saved = incarnation.ID{}, ""
		}
		short.Tasks[i] = t
	}
	return &short, w.rows
}

// overflowWriter distributes tasks over rows.
type overflowWriter struct {
	limit   int
	rows    []overflowRow
	size    int                    // Of the last row.
	workers map[incarnation.ID]int // Index of each worker in the last row.
}

func (w *overflowWriter) add(index int, t *job.TaskProgress) {
	size := taskBytes + textBytes(len(t.Saved))
	_, known := w.workers[t.Worker]
	if !known {
		size += incarnationBytes(t.Worker)
	}
	if len(w.rows) == 0 || w.size+size > w.limit {
		w.rows = append(w.rows, overflowRow{})
		w.workers, known = map[incarnation.ID]int{}, false
		w.size, size = headRowBytes, taskBytes+textBytes(len(t.Saved))+incarnationBytes(t.Worker)
	}
	w.size += size
	row := &w.rows[len(w.rows)-1]
	if !known {
		w.workers[t.Worker] = len(row.Workers)
		row.Workers = append(row.Workers, t.Worker)
	}
	row.Tasks = append(row.Tasks, overflowTask{Index: index, Run: t.Run, Worker: w.workers[t.Worker], Saved: t.Saved})
}

// Measure returns the number of bytes and of rows that the progress of a job takes in a transaction, or slightly more, and
// how many of the rows are overflow.
func (l *Ledger) Measure(p *job.Progress) (bytes, rows, overflow int) {
	bytes = inlineBytes(p) + faultEntryBytes*(len(p.Losses)+p.FailedRuns.Total())
	if bytes > l.rowLimit() {
		_, parts := l.splitProgress(p)
		overflow = len(parts)
	}
	return bytes, DeletionOf("", p).Rows() + max(0, overflow-p.OverflowRows), overflow
}

// faultEntryBytes is the largest encoded size of the losses of a task, and of a failed run with its task.
const faultEntryBytes = 20

// overflowName returns the name of a row of a job's overflow.
func overflowName(id job.ID, n int) string { return string(id) + "/" + strconv.Itoa(n) }

// addOverflow adds the rows of a job's overflow to a transaction. Rows of an earlier commit that it no longer needs are
// deleted.
func (t *LeaseTerm) addOverflow(tx *store.Transaction, id job.ID, rows []overflowRow, before int, add func(table, name string, value any) error) error {
	for n := range rows {
		if err := add(tableOverflow, overflowName(id, n), &rows[n]); err != nil {
			return err
		}
	}
	t.deleteOverflow(tx, id, len(rows), before)
	return nil
}

// deleteOverflow adds the deletion of the rows from..to-1 of a job's overflow to a transaction.
func (t *LeaseTerm) deleteOverflow(tx *store.Transaction, id job.ID, from, to int) {
	for n := from; n < to; n++ {
		tx.Deletes = append(tx.Deletes, t.ledger.key(tableOverflow, overflowName(id, n)))
	}
}

// addOverflowRow puts the texts in a row of overflow into the progress of its job. It ignores the row if the job is not
// in all, because it was deleted between the reads.
func addOverflowRow(all map[job.ID]*job.Progress, row *store.Row) error {
	at := strings.LastIndexByte(row.Name, '/')
	if at < 0 {
		return errors.Errorf("ledger: %q is no row of overflow", row.Name)
	}
	n, err := strconv.Atoi(row.Name[at+1:])
	if err != nil {
		return errors.Wrap(err, "ledger: a row of overflow has no number")
	}
	p := all[job.ID(row.Name[:at])]
	if p == nil {
		return nil
	}
	p.OverflowRows = max(p.OverflowRows, n+1)
	var part overflowRow
	if err := cbor.Unmarshal(row.Value, &part); err != nil {
		return errors.Wrap(err, "ledger: unable to decode a row of overflow")
	}
	for _, o := range part.Tasks {
		if o.Index < 0 || o.Index >= len(p.Tasks) || o.Worker < 0 || o.Worker >= len(part.Workers) {
			continue
		}
		// A task with a worker was written since by a box of an earlier version, which left the overflow as it was.
		if t := &p.Tasks[o.Index]; t.Run == o.Run && t.Worker == (incarnation.ID{}) {
			t.Worker, t.Saved = part.Workers[o.Worker], o.Saved
		}
	}
	return nil
}

// readOverflow reads the overflow of one job into its progress.
func (l *Ledger) readOverflow(ctx context.Context, id job.ID, p *job.Progress) error {
	page, err := store.ReadAll(ctx, l.Store, store.Range{Table: tableOverflow, Part: l.Shard, From: string(id) + "/", To: string(id) + "0", Limit: overflowPageRows})
	for i := range page.Rows {
		if err := addOverflowRow(map[job.ID]*job.Progress{id: p}, &page.Rows[i]); err != nil {
			return err
		}
	}
	return err
}
