package box

import (
	"context"
	"sync"

	"github.com/pulleyring/pulleyring/internal/config"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/settlement"
	"github.com/pulleyring/pulleyring/internal/site"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// clockedNetwork is a link.Network that adds the box's clock reading to each message and advances the clock to that
// of the reply, so that timeline events of several boxes can be ordered.
type clockedNetwork struct{ box *Box }

// Send implements link.Network.
func (s clockedNetwork) Send(ctx context.Context, to link.Entry, m *link.Message) (*link.Reply, error) {
	stampedMessage := *m
	stampedMessage.From = s.box.Settings.Name
	stampedMessage.Stamp = s.box.Recorder.Clock.Now()
	reply, err := s.box.platform.Network.Send(ctx, to, &stampedMessage)
	if err == nil {
		s.box.Recorder.Clock.Observe(reply.Stamp)
	}
	return reply, err
}

// Handle processes a message of another box and returns the reply. It implements link.Handler.
func (b *Box) Handle(ctx context.Context, from string, m *link.Message) *link.Reply {
	b.Recorder.Clock.Observe(m.Stamp)
	reply := &link.Reply{}
	switch {
	case m.Heartbeat != nil && m.Heartbeat.Entry.Name == from:
		b.Members.Receive(m.Heartbeat)
	case m.News != nil:
		b.handleChange(m.News.Prefix)
	case m.Settled != nil:
		b.Intake.Deliver(m.Settled)
	case m.Question != nil:
		b.answer(ctx, m.Question, reply)
	}
	reply.Stamp = b.Recorder.Clock.Now()
	return reply
}

// answer fills in the reply to a question.
func (b *Box) answer(_ context.Context, question *link.Question, reply *link.Reply) {
	switch {
	case question.Why != "":
		for _, k := range b.Keepers() {
			if text := k.WaitReason(question.Why); text != "" {
				reply.Text = text
			}
		}
	case question.Timeline:
		reply.Events = b.Recorder.Events(question.Job)
	case question.Site:
		reply.Site, reply.Orders = b.Config.Documents()
	}
}

// handleChange rereads the configuration or marks a hall's rows as stale, depending on the prefix of the changed rows.
func (b *Box) handleChange(prefix string) {
	if prefix == config.Prefix {
		b.background.Go(func() {
			if err := b.Config.Refresh(b.ctx); err != nil {
				b.Log.Debug("config: " + err.Error())
			}
		})
		return
	}
	for _, keeper := range b.Keepers() {
		if settlement.HallPrefix(keeper.Hall) == prefix {
			keeper.MarkStale()
		}
	}
}

// notifyChange notifies other boxes that rows with this prefix changed: the preferred box for a hall's rows, else
// all boxes.
func (b *Box) notifyChange(prefix string) {
	m := &link.Message{News: &link.News{Prefix: prefix}}
	for _, k := range b.Keepers() {
		if settlement.HallPrefix(k.Hall) != prefix {
			continue
		}
		if to := b.Members.Preferred(k.Hall); to.Name != b.Settings.Name {
			b.sendInBackground(to, m)
			return
		}
		k.MarkStale()
		return
	}
	for _, p := range b.Members.Peers() {
		b.sendInBackground(p.Entry, m)
	}
}

// sendInBackground sends a message in the background. It is not retried on failure, since its content can also be
// read from the table.
func (b *Box) sendInBackground(to link.Entry, m *link.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, sendTimeout)
		defer cancel()
		if _, err := (clockedNetwork{b}).Send(ctx, to, m); err != nil {
			b.Log.Debug("link: " + err.Error())
		}
	}()
}

// deliverOutcome sends the outcome of a request to the named box, at which its caller waits.
func (b *Box) deliverOutcome(target string, outcome link.Settled) {
	if target == b.Settings.Name {
		b.Intake.Deliver(&outcome)
		return
	}
	for _, p := range b.Members.Peers() {
		if p.Entry.Name == target {
			b.sendInBackground(p.Entry, &link.Message{Settled: &outcome})
		}
	}
}

// heartbeatContent returns the content of the box's next heartbeat, without the entry.
func (b *Box) heartbeatContent() link.Heartbeat {
	heartbeat := link.Heartbeat{}
	heartbeat.Version, heartbeat.Orders = b.Config.Versions()
	for _, k := range b.Keepers() {
		if load, on := k.Load(); on {
			heartbeat.Loads = append(heartbeat.Loads, load)
		}
	}
	return heartbeat
}

// fetchNewerConfig fetches the configuration and orders of a peer whose heartbeat names newer versions. A box that
// starts while the table is unavailable gets the newest ones this way.
func (b *Box) fetchNewerConfig(heartbeat *link.Heartbeat) {
	site, orders := b.Config.Versions()
	if heartbeat.Version <= site && heartbeat.Orders <= orders {
		return
	}
	to := heartbeat.Entry
	b.background.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, sendTimeout)
		defer cancel()
		reply, err := clockedNetwork{b}.Send(ctx, to, &link.Message{Question: &link.Question{Site: true}})
		if err != nil {
			return
		}
		if err := b.Config.AdoptReply(reply); err != nil {
			b.Log.Warn("config: " + err.Error())
		}
	})
}

// loads returns the loads of all halls: this box's own, and the last ones that peers reported for the other halls.
func (b *Box) loads() []link.Load {
	var list []link.Load
	seen := map[string]bool{}
	for _, k := range b.Keepers() {
		if load, on := k.Load(); on && load.Hall != "" {
			list = append(list, load)
			seen[load.Hall] = true
		}
	}
	for _, p := range b.Members.Peers() {
		for _, load := range p.Loads {
			if !seen[load.Hall] && load.Hall != "" {
				seen[load.Hall] = true
				list = append(list, load)
			}
		}
	}
	return list
}

// timeline returns the merged events of a job, or all events if job is empty, from this box and all peers that answer.
func (b *Box) timeline(ctx context.Context, job string) []timeline.Event {
	var mu sync.Mutex
	lists := [][]timeline.Event{b.Recorder.Events(job)}
	var group sync.WaitGroup
	for _, p := range b.Members.Peers() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			reply, err := clockedNetwork{b}.Send(ctx, p.Entry, &link.Message{Question: &link.Question{Timeline: true, Job: job}})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			lists = append(lists, reply.Events)
		})
	}
	group.Wait()
	return timeline.Merge(lists...)
}

func parseSite(text string) (*contract.Site, error) { return site.Parse("configuration", []byte(text)) }
