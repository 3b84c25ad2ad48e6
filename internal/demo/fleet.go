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

// runningBox is a box of the demo with its network and the means to stop it.
type runningBox struct {
	*box.Box
	address     string
	network     *link.QUIC
	plannedStop chan struct{}
	cancel      context.CancelFunc
	done        chan struct{}
}

// fleet starts and stops the boxes of the demo.
type fleet struct {
	demo      *demo
	platform  string // Address of the stand-ins.
	authority *identity.Authority

	mu    sync.Mutex
	boxes []*runningBox
}

func newFleet(d *demo, platform string) (*fleet, error) {
	authority, err := identity.NewAuthority(d.Site)
	return &fleet{demo: d, platform: platform, authority: authority}, err
}

// newTransport returns a new HTTP transport. Each user gets one, so that they share no connections, like separate
// machines.
func newTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: time.Minute, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// quietLog returns a logger that discards everything: the stand-ins' server would log each connection that it aborts
// on purpose.
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
	r := &runningBox{Box: b, address: s.Listen, network: network, plannedStop: make(chan struct{}), done: make(chan struct{})}
	ctx, r.cancel = context.WithCancel(ctx)
	go network.Serve(ctx)
	go func() {
		defer close(r.done)
		_ = b.Run(ctx, r.plannedStop, listener) // It returns after a planned stop or a kill.
		network.Close()
	}()
	f.boxes = append(f.boxes, r)
	f.demo.balancer.Add(r.address)
	return nil
}

// settings returns the settings of the box with an index, counted from 0. Boxes are assigned to the halls round
// robin.
func (f *fleet) settings(index int) *settings.Box {
	s := settings.Defaults()
	s.Name = fmt.Sprintf("box-%d", index+1)
	s.Hall = f.demo.config.Halls[index%len(f.demo.config.Halls)].Name
	s.Lease.Renew = 300 * time.Millisecond
	s.Lease.Run = 4 * time.Second
	s.Timing.BalancerDelay = time.Second
	s.Operators = []contract.Operator{{Name: "day_desk", KeyHash: identity.Hash(f.demo.keys["day_desk"])}}
	return &s
}

// beginPlannedStop begins the planned stop of a box and returns its name.
func (f *fleet) beginPlannedStop(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demo.balancer.Planned(f.boxes[i].address)
	close(f.boxes[i].plannedStop)
	return f.boxes[i].Settings.Name
}

// kill kills a box without a planned stop: it closes the sockets and cancels all its work. It returns the box's name.
func (f *fleet) kill(i int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boxes[i].network.Close()
	f.boxes[i].cancel()
	return f.boxes[i].Settings.Name
}

// configApplied reports whether every box has the configuration and knows its peers, and every hall has a box that
// schedules it.
func (f *fleet) configApplied() bool {
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

// runningCount returns the number of running boxes.
func (f *fleet) runningCount() int {
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
		r.cancel()
	}
	for _, r := range f.boxes {
		<-r.done
	}
}

// printJob prints what the boxes know of a job that is not settled: its state in each hall, then all events in order.
func (f *fleet) printJob(d *demo, job string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lists [][]timeline.Event
	for _, r := range f.boxes {
		lists = append(lists, r.Recorder.Events(job), r.Recorder.Events(""))
		for _, k := range r.Keepers() {
			if _, on := k.Load(); !on {
				continue
			}
			if e := k.Rows.Job(job); e != nil {
				d.printf("  in %s of %s: %s, attempt %d in %s; %s", k.Hall, r.Settings.Name, e.State, e.Number, e.Rack, k.WaitReason(job))
			}
		}
	}
	for _, e := range timeline.Merge(lists...) {
		at := time.Unix(0, e.Stamp.Wall).Sub(d.startedAt).Seconds()
		d.printf("  %6.2fs %s %s %s: %s", at, e.Box, e.Hall, e.Attempt, e.Text)
	}
}
