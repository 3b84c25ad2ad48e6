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

// stamped sends messages with the box's clock reading and takes in that of the reply.
type stamped struct{ box *Box }

// Send implements link.Network.
func (s stamped) Send(ctx context.Context, to link.Entry, m *link.Message) (*link.Reply, error) {
	stampedMessage := *m
	stampedMessage.From = s.box.Settings.Name
	stampedMessage.Stamp = s.box.Recorder.Clock.Now()
	reply, err := s.box.platform.Network.Send(ctx, to, &stampedMessage)
	if err == nil {
		s.box.Recorder.Clock.Observe(reply.Stamp)
	}
	return reply, err
}

// Handle answers the messages of other boxes.
func (b *Box) Handle(ctx context.Context, from string, m *link.Message) *link.Reply {
	b.Recorder.Clock.Observe(m.Stamp)
	reply := &link.Reply{}
	switch {
	case m.Heartbeat != nil && m.Heartbeat.Entry.Name == from:
		b.Members.Receive(m.Heartbeat)
	case m.News != nil:
		b.takeNews(m.News.Prefix)
	case m.Settled != nil:
		b.Intake.Deliver(m.Settled)
	case m.Question != nil:
		b.answer(ctx, m.Question, reply)
	}
	reply.Stamp = b.Recorder.Clock.Now()
	return reply
}

func (b *Box) answer(_ context.Context, q *link.Question, reply *link.Reply) {
	switch {
	case q.Why != "":
		for _, k := range b.Keepers() {
			if text := k.Why(q.Why); text != "" {
				reply.Text = text
			}
		}
	case q.Timeline:
		reply.Events = b.Recorder.Events(q.Job)
	case q.Site:
		reply.Site, reply.Orders = b.Config.Documents()
	}
}

// takeNews looks at what changed.
func (b *Box) takeNews(prefix string) {
	if prefix == config.Prefix {
		b.group.Go(func() {
			if err := b.Config.Refresh(b.ctx); err != nil {
				b.Log.Debug("config: " + err.Error())
			}
		})
		return
	}
	for _, k := range b.Keepers() {
		if settlement.HallPrefix(k.Hall) == prefix {
			k.Stale()
		}
	}
}

// news tells the boxes concerned that rows changed: for a hall its preferred box, else all.
func (b *Box) news(prefix string) {
	m := &link.Message{News: &link.News{Prefix: prefix}}
	for _, k := range b.Keepers() {
		if settlement.HallPrefix(k.Hall) != prefix {
			continue
		}
		if to := b.Members.Preferred(k.Hall); to.Name != b.Settings.Name {
			b.tell(to, m)
			return
		}
		k.Stale()
		return
	}
	for _, p := range b.Members.Peers() {
		b.tell(p.Entry, m)
	}
}

// tell sends a message without waiting for it; what it says can also be found in the table.
func (b *Box) tell(to link.Entry, m *link.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(b.ctx, sendTimeout)
		defer cancel()
		if _, err := (stamped{b}).Send(ctx, to, m); err != nil {
			b.Log.Debug("link: " + err.Error())
		}
	}()
}

// settled tells the box where a caller waits what became of its request.
func (b *Box) settled(name string, s link.Settled) {
	if name == b.Settings.Name {
		b.Intake.Deliver(&s)
		return
	}
	for _, p := range b.Members.Peers() {
		if p.Entry.Name == name {
			b.tell(p.Entry, &link.Message{Settled: &s})
		}
	}
}

// describe returns what the box's heartbeats say.
func (b *Box) describe() link.Heartbeat {
	h := link.Heartbeat{}
	h.Version, h.Orders = b.Config.Versions()
	for _, k := range b.Keepers() {
		if load, on := k.Load(); on {
			h.Loads = append(h.Loads, load)
		}
	}
	return h
}

// heard fetches a configuration or orders that another box has and this one has not, so that a box that starts while
// the table is out gets the newest from its peers.
func (b *Box) heard(h *link.Heartbeat) {
	site, orders := b.Config.Versions()
	if h.Version <= site && h.Orders <= orders {
		return
	}
	to := h.Entry
	b.group.Go(func() {
		ctx, cancel := context.WithTimeout(b.ctx, sendTimeout)
		defer cancel()
		reply, err := stamped{b}.Send(ctx, to, &link.Message{Question: &link.Question{Site: true}})
		if err != nil {
			return
		}
		if err := b.Config.AdoptReply(reply); err != nil {
			b.Log.Warn("config: " + err.Error())
		}
	})
}

// loads returns the loads of all halls as their preferred boxes told them last.
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

// timeline merges the events of all boxes that answer.
func (b *Box) timeline(ctx context.Context, job string) []timeline.Event {
	var mu sync.Mutex
	lists := [][]timeline.Event{b.Recorder.Events(job)}
	var group sync.WaitGroup
	for _, p := range b.Members.Peers() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			reply, err := stamped{b}.Send(ctx, p.Entry, &link.Message{Question: &link.Question{Timeline: true, Job: job}})
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
