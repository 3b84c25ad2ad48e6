package standin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/table"
	"golang.org/x/time/rate"
)

// branching is the degree of the tree of rows.
const branching = 32

// maxTxnRows is the maximum number of rows written by one transaction.
const maxTxnRows = 256

// errAnswerLost is the error of a call whose answer is lost.
var errAnswerLost = errors.New("standin: the answer is lost")

// Table implements the platform's transactional table service in memory.
type Table struct {
	Faults *FaultInjector
	Writes *rate.Limiter // Transactions a second; nil means no limit.
	Reads  *rate.Limiter // Reads a second; nil means no limit.

	mu       sync.Mutex
	rows     *btree.BTreeG[table.Row]
	revision int64
	stats    TableStats
}

// TableStats counts the calls to the table.
type TableStats struct {
	Txns      int64 `json:"txns"`
	Rows      int64 `json:"rows"`
	Reads     int64 `json:"reads"`
	Conflicts int64 `json:"conflicts"`
	Refused   int64 `json:"refused"` // Calls refused because of a rate limit or an outage.
}

// NewTable returns an empty table.
func NewTable(faults *FaultInjector) *Table {
	less := func(a, b table.Row) bool { return a.Key < b.Key }
	return &Table{Faults: faults, rows: btree.NewG(branching, less)}
}

// Stats returns the counts so far.
func (t *Table) Stats() TableStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Commit implements table.Service.
func (t *Table) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	faults := t.Faults.Get()
	if err := t.admit(ctx, faults, t.Writes); err != nil {
		return 0, err
	}
	if t.Faults.affects(faults.TableDrop) {
		return 0, errors.Wrap(table.ErrUnknown, errAnswerLost.Error())
	}
	revision, err := t.apply(txn)
	if err == nil && t.Faults.affects(faults.TableLoseAnswers) {
		return 0, errors.Wrap(table.ErrUnknown, errAnswerLost.Error())
	}
	return revision, err
}

func (t *Table) admit(ctx context.Context, faults Faults, limit *rate.Limiter) error {
	if err := pause(ctx, time.Duration(faults.TableSlowMS)*time.Millisecond); err != nil {
		return errors.Wrap(table.ErrUnknown, err.Error())
	}
	if faults.TableDown || limit != nil && !limit.Allow() {
		t.mu.Lock()
		t.stats.Refused++
		t.mu.Unlock()
		return table.ErrUnavailable
	}
	return nil
}

func (t *Table) apply(txn table.Txn) (int64, error) {
	if len(txn.Writes) > maxTxnRows {
		return 0, table.ErrUnavailable
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Txns++
	conflict := &table.Conflict{}
	for _, c := range txn.Checks {
		if t.version(c.Key) != c.Version {
			conflict.Keys = append(conflict.Keys, c.Key)
		}
	}
	if len(conflict.Keys) > 0 {
		t.stats.Conflicts++
		return 0, conflict
	}
	t.revision++
	for _, w := range txn.Writes {
		t.rows.ReplaceOrInsert(table.Row{Key: w.Key, Version: t.revision, Txn: txn.ID, Deleted: w.Delete, Value: w.Value})
	}
	t.stats.Rows += int64(len(txn.Writes))
	return t.revision, nil
}

// version returns the version of a row that a transaction's check compares with: 0 for an absent or deleted row.
func (t *Table) version(key string) int64 {
	row, ok := t.rows.Get(table.Row{Key: key})
	if !ok || row.Deleted {
		return 0
	}
	return row.Version
}

// Read implements table.Service.
func (t *Table) Read(ctx context.Context, keys []string) ([]table.Row, error) {
	if err := t.admit(ctx, t.Faults.Get(), t.Reads); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	rows := make([]table.Row, len(keys))
	for i, k := range keys {
		rows[i] = table.Row{Key: k}
		if row, ok := t.rows.Get(rows[i]); ok {
			rows[i] = row
			if row.Deleted {
				rows[i].Version = 0
				rows[i].Value = nil
			}
		}
	}
	return rows, nil
}

// Changes implements table.Service.
func (t *Table) Changes(ctx context.Context, prefix string, after int64, limit int) ([]table.Row, int64, error) {
	if err := t.admit(ctx, t.Faults.Get(), t.Reads); err != nil {
		return nil, 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Reads++
	var rows []table.Row
	t.rows.AscendGreaterOrEqual(table.Row{Key: prefix}, func(row table.Row) bool {
		if !strings.HasPrefix(row.Key, prefix) {
			return false
		}
		if row.Version > after && (after > 0 || !row.Deleted) {
			rows = append(rows, row)
		}
		return true
	})
	slices.SortFunc(rows, func(a, b table.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	if len(rows) <= limit {
		return rows, t.revision, nil
	}
	return truncateAtRevision(rows, limit)
}

// truncateAtRevision truncates rows, sorted by version, to limit rows. It keeps more if limit would split the rows of
// one transaction. It also returns the version of the last row.
func truncateAtRevision(rows []table.Row, limit int) ([]table.Row, int64, error) {
	end := limit
	for end < len(rows) && rows[end].Version == rows[end-1].Version {
		end++
	}
	return rows[:end], rows[end-1].Version, nil
}
