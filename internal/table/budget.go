package table

import (
	"context"

	"golang.org/x/time/rate"
)

// RateLimited limits the rate at which a box reads the table. The Committer limits the commits.
type RateLimited struct {
	Service
	Reads *rate.Limiter // Calls of Read and Changes a second.
}

// Read implements Service.
func (b *RateLimited) Read(ctx context.Context, keys []string) ([]Row, error) {
	if b.Reads.Wait(ctx) != nil {
		return nil, ErrUnavailable
	}
	return b.Service.Read(ctx, keys)
}

// Changes implements Service.
func (b *RateLimited) Changes(ctx context.Context, prefix string, after int64, limit int) ([]Row, int64, error) {
	if b.Reads.Wait(ctx) != nil {
		return nil, 0, ErrUnavailable
	}
	return b.Service.Changes(ctx, prefix, after, limit)
}
