package node

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/ledger"
	"github.com/pulleyring/pulleyring/internal/logsink"
	"go.uber.org/zap"
)

// ErrSuperseded is the error of a box that stops because a later start of the same box is registered. A start is one
// run of the box's process.
var ErrSuperseded = errors.New("node: a later start of this box is registered")

// startTimeout limits one call to the store about starts. The store answers after about 400 ms at its slowest.
const startTimeout = 1500 * time.Millisecond

// holderName returns the name under which a start of a box holds the lease.
func holderName(box string, s ledger.Start) string {
	return box + "/" + strconv.FormatInt(s.Number, 10) + "-" + s.Name
}

// startNumber returns the number of the start that a lease holder names, or 0 if the name has no number. own reports
// whether the holder is this box.
func startNumber(box, holder string) (number int64, own bool) {
	start, own := strings.CutPrefix(holder, box+"/")
	if !own {
		return 0, false
	}
	text, _, numbered := strings.Cut(start, "-")
	if !numbered {
		return 0, true
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, true
	}
	return number, true
}

// register records this start as the newest of its box, so that it may claim the lease from an earlier start at once.
// It retries until it succeeds, and returns false if ctx ends first.
func (n *Node) register(ctx context.Context) bool {
	s := n.settings.Load()
	var failed backoff
	for try := 1; ctx.Err() == nil; try++ {
		tryCtx, cancel := context.WithTimeout(ctx, startTimeout)
		own, before, err := n.ledger.Register(tryCtx, s.Box, ledger.Start{Name: n.start.Name, Address: s.Relay})
		cancel()
		if err != nil {
			if try == 1 { // During an outage several tries fail each second.
				n.log.Warn("node: unable to register this start; retrying", logsink.Error(err))
			}
			failed.sleep(ctx, false)
			continue
		}
		n.start = own
		n.registeredNumber.Store(own.Number)
		n.holder = holderName(s.Box, own)
		n.log.Info("node: start registered", zap.String("holder", n.holder), zap.Int64("number", own.Number), zap.String("before", before.Name), zap.Int("tries", try))
		if before.Address != own.Address && before.Name != "" {
			n.Metrics.Count("starts_elsewhere")
			note := fmt.Sprintf("box %s is at %s; its start before was at %s: the name may be used twice", s.Box, own.Address, before.Address)
			n.addressNote.Store(&note)
			n.log.Warn("node: the previous start of this box had another address; if both run, two boxes have the same name", zap.String("box", s.Box),
				zap.String("address", own.Address), zap.String("before", before.Address))
		}
		return true
	}
	return false
}

// checkDuplicateBox logs that a box with the same name has announced another address, and stops this start if the
// other one is later.
func (n *Node) checkDuplicateBox(address string) {
	n.log.Warn("node: a duplicate box has announced another address; checking which start is later", zap.String("box", n.settings.Load().Box), zap.String("address", address))
	n.checkStart(context.Background())
}

// checkStart stops this start if a later start of the box is registered.
func (n *Node) checkStart(ctx context.Context) {
	number := n.registeredNumber.Load()
	if number == 0 {
		return // Not registered yet.
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	newest, err := n.ledger.NewestStart(ctx, n.settings.Load().Box)
	if err != nil {
		n.log.Warn("node: unable to read the newest start of this box; this start continues", logsink.Error(err))
		return
	}
	if newest.Number > number {
		n.stopForLaterStart(newest)
	}
}

// stopForLaterStart shuts this start down gracefully because a later one is registered.
func (n *Node) stopForLaterStart(later ledger.Start) {
	n.supersededOnce.Do(func() {
		n.Metrics.Count("starts_outranked")
		n.log.Warn("node: a later start of this box is registered; stopping this one", zap.String("box", n.settings.Load().Box), zap.Int64("number", n.start.Number),
			zap.Int64("later", later.Number), zap.String("later_start", later.Name), zap.String("later_address", later.Address))
		n.stopping.Store(true)
		n.laterStart = later
		close(n.superseded)
	})
}

// supersededError returns ErrSuperseded with a description of both starts.
func (n *Node) supersededError() error {
	return errors.WithMessagef(ErrSuperseded, "box %s, start %d (%s) at %s; this is start %d at %s", n.settings.Load().Box, n.laterStart.Number, n.laterStart.Name, n.laterStart.Address,
		n.start.Number, n.start.Address)
}
