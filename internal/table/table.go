// Package table is the client side of the platform's transactional table service. It batches the commits of a box and
// limits the rate of its reads and commits.
package table

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Row is a committed row, or a mark that the row is absent or deleted.
type Row struct {
	Key     string          `json:"key"`
	Version int64           `json:"version"` // Revision of the table that wrote it; 0 means absent.
	Txn     string          `json:"txn"`     // ID of the transaction that wrote it.
	Deleted bool            `json:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// Check is the condition that a row has the given version; 0 means that the row must be absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Write sets a row to a value or deletes it.
type Write struct {
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

// Txn is a transaction that is applied only if all its checks hold. Its ID is stored in the rows that it writes.
type Txn struct {
	ID     string  `json:"id"`
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// ErrUnavailable means that the service refused a request and did nothing. For a commit, the refusal must name the
// transaction.
var ErrUnavailable = errors.New("table: unavailable, nothing was done")

// ErrUnknown means that a request may or may not have been carried out.
var ErrUnknown = errors.New("table: the outcome is not known")

// Conflict is returned by a commit that wrote nothing because rows had other versions.
type Conflict struct {
	Keys []string `json:"keys"` // The rows whose checks failed.
}

// Error names the first row in conflict.
func (c *Conflict) Error() string {
	if len(c.Keys) == 0 {
		return "table: conflict"
	}
	return "table: conflict at " + c.Keys[0]
}

// Service is the table service. It is implemented by Client and, for tests, by package standin.
type Service interface {
	// Commit applies all writes of the transaction or none, and returns the new revision. After a *Conflict or
	// ErrUnavailable nothing was written; after any other error the outcome is unknown.
	Commit(ctx context.Context, txn Txn) (int64, error)
	// Read returns the rows in the order of the keys; absent rows have version 0.
	Read(ctx context.Context, keys []string) ([]Row, error)
	// Changes returns at most limit rows under a prefix that were written after a revision, oldest first, and the
	// revision up to which the result is complete.
	Changes(ctx context.Context, prefix string, after int64, limit int) ([]Row, int64, error)
}

// Put returns a Write that sets a row to the value, encoded as JSON.
func Put(key string, value any) Write {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(errors.Wrapf(err, "table: unable to encode %s", key)) // The structs of rows always encode.
	}
	return Write{Key: key, Value: raw}
}

// Delete returns a Write that deletes a row.
func Delete(key string) Write { return Write{Key: key, Delete: true} }
