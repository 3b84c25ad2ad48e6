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

// ErrOutranked says that a later start of the same box has come, so that this one ends.
var ErrOutranked = errors.New("node: a later start of this box has come")

// startTimeout bounds one call about starts; the store at its slowest answers after about 400 ms.
const startTimeout = 1500 * time.Millisecond

// holderName names a start as the holder of the lease.
func holderName(box string, s ledger.Start) string {
	return box + "/" + strconv.FormatInt(s.Number, 10) + "-" + s.Name
}

// startNumber is the number of a start of a box by the name that it has as a holder: 0 where it has none, and false for another box.
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

// register makes this start the newest one of its box, so that it may take the lease from an earlier one at once. It returns false where ctx ended before.
func (n *Node) register(ctx context.Context) bool {
	s := n.settings.Load()
	var failed backoff
	for try := 1; ctx.Err() == nil; try++ {
		tryCtx, cancel := context.WithTimeout(ctx, startTimeout)
		own, before, err := n.ledger.Register(tryCtx, s.Box, ledger.Start{Name: n.start.Name, Address: s.Relay})
		cancel()
		if err != nil {
			if try == 1 { // In an outage it fails some times a second.
				n.log.Warn("node: unable to register the start", logsink.Error(err))
			}
			failed.sleep(ctx, false)
			continue
		}
		n.start = own
		n.number.Store(own.Number)
		n.holder = holderName(s.Box, own)
		n.log.Info("node: start registered", zap.String("holder", n.holder), zap.Int64("number", own.Number), zap.String("before", before.Name), zap.Int("tries", try))
		if before.Address != own.Address && before.Name != "" {
			n.Figures.Count("starts_elsewhere")
			note := fmt.Sprintf("box %s is at %s; its start before was at %s: the name may be used twice", s.Box, own.Address, before.Address)
			n.elsewhere.Store(&note)
			n.log.Warn("node: the start before this one was at another address; if both live, the name is used twice", zap.String("box", s.Box),
				zap.String("address", own.Address), zap.String("before", before.Address))
		}
		return true
	}
	return false
}

// noteTwin takes in that a box of the same name has announced another address.
func (n *Node) noteTwin(address string) {
	n.log.Warn("node: a box of this name has announced another address", zap.String("box", n.settings.Load().Box), zap.String("address", address))
	n.checkStart(context.Background())
}

// checkStart gives way where a later start of the box is registered.
func (n *Node) checkStart(ctx context.Context) {
	number := n.number.Load()
	if number == 0 {
		return // It is not registered itself yet.
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	newest, err := n.ledger.NewestStart(ctx, n.settings.Load().Box)
	if err != nil {
		n.log.Warn("node: unable to read the starts of this box", logsink.Error(err))
		return
	}
	if newest.Number > number {
		n.giveWay(newest)
	}
}

// giveWay ends this start as a planned end does, as a later one has come.
func (n *Node) giveWay(later ledger.Start) {
	n.outrankedOnce.Do(func() {
		n.Figures.Count("starts_outranked")
		n.log.Warn("node: a later start of this box has come; this one ends", zap.String("box", n.settings.Load().Box), zap.Int64("number", n.start.Number),
			zap.Int64("later", later.Number), zap.String("later_start", later.Name), zap.String("later_address", later.Address))
		n.stopping.Store(true)
		n.later = later
		close(n.outranked)
	})
}

// outrankedError names the start that has come.
func (n *Node) outrankedError() error {
	return errors.WithMessagef(ErrOutranked, "box %s, start %d (%s) at %s; this is start %d at %s", n.settings.Load().Box, n.later.Number, n.later.Name, n.later.Address,
		n.start.Number, n.start.Address)
}
