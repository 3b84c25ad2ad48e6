package demo

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/box"
	"github.com/pulleyring/pulleyring/internal/identity"
	"github.com/pulleyring/pulleyring/internal/link"
	"github.com/pulleyring/pulleyring/internal/settings"
	"github.com/pulleyring/pulleyring/internal/timeline"
	"github.com/pulleyring/pulleyring/pkg/contract"
)

// running is one box of the demo.
type running struct {
	*box.Box
	address string
	network *link.QUIC
	planned chan struct{}
	kill    context.CancelFunc
	done    chan struct{}
}

// fleet is the boxes of the demo.
type fleet struct {
	demo      *demo
	platform  string // Address of the stand-ins.
	authority *identity.Authority

	mu    sync.Mutex
	boxes []*running
}

func newFleet(d *demo, platform string) (*fleet, error) {
	authority, err := identity.NewAuthority(d.Site)
	return &fleet{demo: d, platform: platform, authority: authority}, err
}

// newTransport returns a transport of its own for each user, as separate machines would have.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// quietLog keeps the stand-ins' servers from reporting the connections that they break off on purpose.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

// add starts one more box.
func (f *fleet) add(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.settings(len(f.boxes))
	certificate, err := f.authority.Issue(s.Name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return err
	}
	network := &link.QUIC{Certificate: certificate, Authority: f.authority.Pool()}
	if err := network.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "demo: unable to listen")
	}
	s.LinkListen, s.Listen = network.Address(), listener.Addr().String()
	s.Table, s.Objects, s.LiveList = "http://"+f.platform, "http://"+f.platform, "http://"+f.platform
	b := box.New(s, box.OverHTTP(s, &http.Client{Transport: newTransport()}, network), f.demo.Log)
	network.Handle = b.Handle
	r := &running{Box: b, address: s.Listen, network: network, planned: make(chan struct{}), done: make(chan struct{})}
	ctx, r.kill = context.WithCancel(ctx)
	go network.Serve(ctx)
	go func() {
		defer close(r.done)
		_ = b.Run(ctx, r.planned, listener) // It ends when it is told to.
		network.Close()
	}()
	f.boxes = append(f.boxes, r)
	f.demo.balancer.Add(r.address)
	return nil
}

// settings returns the settings of the box of a number: boxes go round the halls.
func (f *fleet) settings(number int) *settings.Box {
	s := settings.Defaults()
	s.Name = fmt.Sprintf("box-%d", number+1)
	s.Hall = f.demo.config.Halls[number%len(f.demo.config.Halls)].Name
	s.Lease.Renew = 300 * time.Millisecond
	s.Lease.Run = 4 * time.Second
	s.Timing.BalancerDelay = time.Second
	s.Operators = []contract.Operator{{Name: "day_desk", KeyHash: identity.Hash(f.demo.keys["day_desk"])}}
	return &s
}

// plan stops a box as planned.
func (f *fleet) plan(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demo.balancer.Planned(f.boxes[i].address)
	close(f.boxes[i].planned)
	return f.boxes[i].Settings.Name
}

// cut ends a box without warning: its sockets close and nothing of it goes on.
func (f *fleet) cut(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boxes[i].network.Close()
	f.boxes[i].kill()
	return f.boxes[i].Settings.Name
}

// inForce reports whether every box has the configuration and every hall is decided for.
func (f *fleet) inForce() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	halls := map[string]bool{}
	for _, r := range f.boxes {
		if r.Config.Site() == nil || len(r.Members.Peers()) < len(f.boxes)-1 {
			return false
		}
		for _, k := range r.Keepers() {
			if load, on := k.Load(); on && load.Capacity > 0 {
				halls[k.Hall] = true
			}
		}
	}
	return len(halls) == len(f.demo.config.Halls)
}

// ready returns the number of boxes that run.
func (f *fleet) ready() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.boxes {
		select {
		case <-r.done:
		default:
			n++
		}
	}
	return n
}

func (f *fleet) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.boxes {
		r.kill()
	}
	for _, r := range f.boxes {
		<-r.done
	}
}

// explain prints what the boxes know of a job that is not settled.
func (f *fleet) explain(d *demo, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lists [][]timeline.Event
	for _, r := range f.boxes {
		lists = append(lists, r.Recorder.Events(job), r.Recorder.Events(""))
		for _, k := range r.Keepers() {
			if _, on := k.Load(); !on {
				continue
			}
			if e := k.Book.Job(job); e != nil {
				d.say("  in %s of %s: %s, attempt %d in %s; %s", k.Hall, r.Settings.Name, e.State, e.Number, e.Rack, k.Why(job))
			}
		}
	}
	for _, e := range timeline.Merge(lists...) {
		at := time.Unix(0, e.Stamp.Wall).Sub(d.began).Seconds()
		d.say("  %6.2fs %s %s %s: %s", at, e.Box, e.Hall, e.Attempt, e.Text)
	}
}
