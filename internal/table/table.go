// Package table is the platform's transactional table service as the boxes see it.
package table

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is one committed row.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"` // Revision of the table that wrote it; 0 means absent.
	Txn     string          `json:"txn"`     // Id of the transaction that wrote it.
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check is the condition that a row still has a version; 0 asks that it be absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Txn is a conditional transaction; its id is stored in the rows that it writes.
type Txn struct {
	ID     string  `json:"id"`
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// ErrUnavailable says that the service surely did nothing, in the name of the transaction where it was asked to write.
var ErrUnavailable = errors.New("table: unavailable, nothing was done")

// ErrUnknown says that the outcome of a transaction is not known.
var ErrUnknown = errors.New("table: the outcome is not known")

// Conflict says that nothing was written because rows had other versions.
type Conflict struct {
	Keys []string `json:"keys"` // The rows whose checks failed.
}

// Error returns the first row in conflict.
func (c *Conflict) Error() string {
	if len(c.Keys) == 0 {
		return "table: conflict"
	}
	return "table: conflict at " + c.Keys[0]
}

// Service is the table service; implementations are the HTTP client and the stand-in.
type Service interface {
	// Commit applies the transaction whole or not at all and returns the new revision.
	// The error is a *Conflict, ErrUnavailable, or anything else where the outcome is not known.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns the rows of the keys in their order; absent rows have version 0.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Changes returns rows under a prefix written after a revision, oldest first, at most limit,
	// with the revision up to which the answer is complete.
	Changes(ctx context.Context, prefix string, after int64, limit int) ([]Row, int64, error)
}

// Put returns a write of a value as JSON.
func Put(key string, value any) Write {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrapf(err, "table: unable to encode %s", key)) // Our own plain structs always encode.
	}
	return Write{Key: key, Value: raw}
}

// Drop returns the deletion of a row.
func Drop(key string) Write { return Write{Key: key, Delete: true} }
