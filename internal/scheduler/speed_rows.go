package scheduler

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"github.com/pulleyring/pulleyring/internal/speed"
	"go.uber.org/zap"
)

const (
	// speedRowInterval is the least time between two rows of speeds that are written: each byte written costs money.
	speedRowInterval = 2 * time.Second
	// movedLog is how much ln(factor) of a worker must have moved since its row was written to write the row again.
	movedLog = 0.1
	// storedVariance is added to the variance of a speed that is read, because it may have moved by movedLog since it was
	// written.
	storedVariance = movedLog * movedLog
	// speedsReadTimeout limits the reads of the rows at a takeover. Speeds that come later are learned anew.
	speedsReadTimeout = 500 * time.Millisecond
	// perUnit is the number of units of stored logarithms and variances in 1.
	perUnit = 1000
)

// speedRows tracks which rows of speeds have to be written for the successor. The zero value has nothing to write.
type speedRows struct {
	stale   map[int]bool // Numbers of the rows that have to be written.
	next    int          // Number of the row that is considered first.
	written time.Time    // When a row was last written.
}

// touch marks a row as one that has to be written.
func (s *speedRows) touch(row int) {
	if s.stale == nil {
		s.stale = map[int]bool{}
	}
	s.stale[row] = true
}

// markMoved marks the rows of workers whose speeds have moved since they were written.
func (s *speedRows) markMoved(workers []*workerState) {
	for _, w := range workers {
		if math.Abs(w.speed.estimate.Log()-w.speed.stored) > movedLog {
			s.touch(ledger.SpeedRow(w.ID))
		}
	}
}

// collectSpeeds adds a row of speeds that has to be written to a batch. Such rows alone trigger no batch.
func (h *shard) collectSpeeds(b *ledger.Batch, now time.Time) {
	s := &h.speeds.rows
	if len(s.stale) == 0 || now.Sub(s.written) < speedRowInterval {
		return
	}
	for range ledger.SpeedRowCount {
		row := s.next
		s.next = (s.next + 1) % ledger.SpeedRowCount
		if !s.stale[row] {
			continue
		}
		delete(s.stale, row)
		if list := h.speedRow(row); len(list) > 0 {
			b.Speeds, s.written = map[int][]ledger.Speed{row: list}, now
			return
		}
	}
}

// speedRow returns the speeds in a row. If they don't fit, those of the workers that are most like usual ones are left
// out. Services whose workers do not differ materially store nothing.
func (h *shard) speedRow(row int) []ledger.Speed {
	var list []ledger.Speed
	add := func(id string, own *workerSpeed) {
		if ledger.SpeedRow(id) != row || own.estimate.Samples() == 0 {
			return
		}
		log := own.estimate.Log()
		own.stored = log
		list = append(list, ledger.Speed{
			Incarnation: own.incarnation, Log: thousandths(log),
			Variance: thousandths(own.estimate.Variance()), Samples: own.estimate.Samples(),
		})
	}
	for id, w := range h.workers {
		if site := h.speeds.sites[w.Service]; site != nil && site.material {
			add(id, w.speedOf())
		}
	}
	if len(list) == 0 {
		return nil
	}
	for id, former := range h.speeds.former {
		add(id, &former.workerSpeed)
	}
	slices.SortFunc(list, func(x, y ledger.Speed) int {
		byDifference := cmp.Compare(max(y.Log, -y.Log), max(x.Log, -x.Log))
		return cmp.Or(byDifference, cmp.Compare(x.Incarnation.Worker, y.Incarnation.Worker))
	})
	return h.Ledger.FitSpeeds(list)
}

func thousandths(x float64) int { return int(math.Round(x * perUnit)) }

// readSpeeds reads the speeds that the predecessors stored. The takeover does not wait for them.
func (h *shard) readSpeeds() {
	ctx, cancel := context.WithTimeout(h.ctx, speedsReadTimeout)
	defer cancel()
	list, unreadable, err := h.Ledger.Speeds(ctx)
	for err != nil && interval.Sleep(ctx, retryDelay) {
		list, unreadable, err = h.Ledger.Speeds(ctx)
	}
	if err != nil {
		h.Log.Warn("scheduler: unable to read the speeds of workers; learning them anew", logsink.Error(err))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, row := range unreadable {
		h.speeds.rows.touch(row)
	}
	restored := 0
	for i := range list {
		if h.restoreStored(&list[i], time.Now()) {
			restored++
		}
	}
	h.Log.Info("scheduler: read the speeds of workers",
		zap.Int("stored", len(list)), zap.Int("restored", restored), zap.Ints("unreadable_rows", unreadable))
	h.speeds.updatedAt = time.Time{} // The next update takes them into account at once.
	h.signal()
}

// restoreStored restores a stored speed and reports whether it is used. Of a worker that is already tracked it is used
// only if nothing was learned yet.
func (h *shard) restoreStored(stored *ledger.Speed, now time.Time) bool {
	log, variance := float64(stored.Log)/perUnit, float64(stored.Variance)/perUnit
	id := stored.Incarnation.Worker
	estimate := speed.Restored(log, variance+storedVariance, stored.Samples, now)
	own := workerSpeed{incarnation: stored.Incarnation, estimate: estimate, stored: log}
	if id == "" || own.estimate.Samples() == 0 {
		return false
	}
	w := h.workers[id]
	if w == nil {
		h.speeds.addFormer(id, own, now)
		return true
	}
	if w.speed.estimate.Samples() > 0 {
		return false
	}
	w.speed = own
	return true
}
