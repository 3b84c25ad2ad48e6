package ledger

import (
	"cmp"
	"context"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/store"
)

// tableSpeeds holds the learned speeds of workers, so that a successor need not learn them again. Boxes of earlier
// versions ignore it.
const tableSpeeds = "speeds"

const (
	// SpeedRowCount is the number of rows over which the speeds are spread. 350 workers take 11 KB in all rows together,
	// 12,000 workers 49 KB in each.
	SpeedRowCount = 8
	// MaxSpeedRows is the number of rows of speeds in a batch.
	MaxSpeedRows = 1
	// speedRowShare is the part of the store's limit for a row that a row of speeds may take, in twelfths.
	speedRowShare = 11
	// speedEntryBytes is the size of an entry without the worker's name: its start time and numbers.
	speedEntryBytes = 24
	// speedsVersion is the version of the rows' format.
	speedsVersion = 1
)

// Speed is the learned speed of an incarnation of a worker.
type Speed struct {
	_           struct{} `cbor:",toarray"`
	Incarnation incarnation.ID
	Log         int // Logarithm of the factor on the usual run time, in thousandths.
	Variance    int // Variance of Log, in thousandths of the squared logarithm.
	Samples     int
}

// speedRow is the value of a row of speeds.
type speedRow struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Speeds  []Speed
}

// SpeedRow returns the number of the row that holds a worker's speed.
func SpeedRow(worker string) int { return int(xxhash.Sum64String(worker) % SpeedRowCount) }

// FitSpeeds returns the first of the speeds that fit into one row together.
func (l *Ledger) FitSpeeds(list []Speed) []Speed {
	size, limit := 0, cmp.Or(l.RowBytes, defaultRowBytes)/12*speedRowShare
	for i := range list {
		if size += len(list[i].Incarnation.Worker) + speedEntryBytes; size > limit {
			return list[:i]
		}
	}
	return list
}

// Speeds reads all speeds that the last holders of the lease stored. It also returns the numbers of the rows that it
// could not decode, whose speeds are missing: a later version may have written them.
func (l *Ledger) Speeds(ctx context.Context) (all []Speed, unreadable []int, err error) {
	page, err := store.ReadAll(ctx, l.Store, store.Range{Table: tableSpeeds, Part: l.Shard})
	if err != nil {
		return nil, nil, err
	}
	for i := range page.Rows {
		var row speedRow
		if err := cbor.Unmarshal(page.Rows[i].Value, &row); err == nil && row.Version == speedsVersion {
			all = append(all, row.Speeds...)
			continue
		}
		if n, err := strconv.Atoi(page.Rows[i].Name); err == nil && n >= 0 && n < SpeedRowCount {
			unreadable = append(unreadable, n)
		}
	}
	return all, unreadable, nil
}

// addSpeeds calls add for each row of speeds in a batch.
func (b *Batch) addSpeeds(add func(table, name string, value any) error) error {
	for row, speeds := range b.Speeds {
		if err := add(tableSpeeds, strconv.Itoa(row), speedRow{Version: speedsVersion, Speeds: speeds}); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
