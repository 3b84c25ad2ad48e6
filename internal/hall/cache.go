// Package hall schedules the jobs of one hall in one box. It caches the hall's rows, monitors its workers, asks the
// decider, and carries out the decisions. A start takes three steps: hold the devices, commit the rows, start the
// members.
package hall

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/table"
)

// CachedJob is a job with the version of its row and the times at which this box first saw its attempt and its stop.
type CachedJob struct {
	settlement.Job
	Version   int64
	FirstSeen time.Time // When this box first saw the attempt; its workers held it before that.
	StopSeen  time.Time // When this box first saw that the attempt must stop; zero until then.
}

// setTimes sets FirstSeen and StopSeen, and keeps the times of old if it describes the same attempt.
func (j *CachedJob) setTimes(old *CachedJob) {
	now := time.Now()
	j.FirstSeen = now
	if j.State == settlement.Stopping {
		j.StopSeen = now
	}
	if old == nil || old.Attempt != j.Attempt {
		return
	}
	j.FirstSeen = old.FirstSeen
	if old.State == settlement.Stopping {
		j.StopSeen = old.StopSeen
	}
}

// Key returns the job's key, caller/id.
func (j *CachedJob) Key() string { return j.Identity.String() }

// RowCache caches a hall's rows and refreshes them from the table. Set Hall and Table before use.
type RowCache struct {
	Hall  string
	Table table.Service

	mu           sync.Mutex
	refreshToken chan struct{} // Holds one token while a refresh runs.
	revision     int64
	jobs         map[string]*CachedJob
	racks        map[string]int64 // Versions of the rack rows, by rack.
}

// changesLimit is the most rows that one read of changes returns.
const changesLimit = 2000

// Refresh applies the changes made to the table since the last refresh. Only one refresh runs at a time.
func (c *RowCache) Refresh(ctx context.Context) error {
	token := c.refreshTokens()
	select {
	case token <- struct{}{}:
		defer func() { <-token }()
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		rows, revision, err := c.Table.Changes(ctx, settlement.HallPrefix(c.Hall), after, changesLimit)
		if err != nil {
			return errors.Wrapf(err, "hall: unable to refresh %s", c.Hall)
		}
		if err := c.apply(rows, revision); err != nil {
			return err
		}
		if len(rows) < changesLimit {
			return nil
		}
	}
}

// refreshTokens returns the channel that admits one refresh at a time.
func (c *RowCache) refreshTokens() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshToken == nil {
		c.refreshToken = make(chan struct{}, 1)
	}
	return c.refreshToken
}

func (c *RowCache) apply(rows []table.Row, revision int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	for _, row := range rows {
		if err := c.applyRow(row); err != nil {
			return err
		}
	}
	c.revision = revision
	return nil
}

func (c *RowCache) init() {
	if c.jobs == nil {
		c.jobs = map[string]*CachedJob{}
		c.racks = map[string]int64{}
	}
}

func (c *RowCache) applyRow(row table.Row) error {
	kind, name, _ := strings.Cut(strings.TrimPrefix(row.Key, settlement.HallPrefix(c.Hall)), "/")
	switch kind {
	case "rack":
		c.racks[name] = max(c.racks[name], row.Version)
	case "job":
		old := c.jobs[name]
		if old != nil && old.Version >= row.Version {
			return nil
		}
		if row.Deleted {
			delete(c.jobs, name)
			return nil
		}
		j := &CachedJob{Version: row.Version}
		if err := settlement.Decode(row, &j.Job); err != nil {
			return err
		}
		j.setTimes(old)
		c.jobs[name] = j
	}
	return nil
}

// Put records a job row that this box committed. It keeps a newer version if there is one.
func (c *RowCache) Put(job settlement.Job, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	key := job.Identity.String()
	old := c.jobs[key]
	if old != nil && old.Version >= version {
		return
	}
	j := &CachedJob{Job: job, Version: version}
	j.setTimes(old)
	c.jobs[key] = j
}

// Drop records that this box committed the deletion of a job row.
func (c *RowCache) Drop(key string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.jobs[key]; old != nil && old.Version < version {
		delete(c.jobs, key)
	}
}

// PutRack records that this box committed a rack's row.
func (c *RowCache) PutRack(rack string, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.racks[rack] = max(c.racks[rack], version)
}

// RackVersion returns the version of a rack's row, or 0 if there is none.
func (c *RowCache) RackVersion(rack string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.racks[rack]
}

// Job returns a job, or nil if there is none. The caller must not change it.
func (c *RowCache) Job(key string) *CachedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[key]
}

// Jobs returns all jobs, sorted by key. The caller must not change them.
func (c *RowCache) Jobs() []*CachedJob {
	c.mu.Lock()
	list := make([]*CachedJob, 0, len(c.jobs))
	for _, j := range c.jobs {
		list = append(list, j)
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(x, y *CachedJob) int { return strings.Compare(x.Key(), y.Key()) })
	return list
}
