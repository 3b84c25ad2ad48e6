// Package demo runs a whole site in one process over real loopback sockets: stand-ins, boxes and callers, with a burst
// and faults, and judges what came of it by the records of the stand-ins and the callers.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/deploy"
	"github.com/pulleyring/pulleyring/internal/identity"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/judge"
	"github.com/pulleyring/pulleyring/internal/site"
	"github.com/pulleyring/pulleyring/internal/standin"
	"github.com/pulleyring/pulleyring/pkg/caller"
	"github.com/pulleyring/pulleyring/pkg/contract"
	"go.uber.org/zap"
)

// Options are what can be chosen.
type Options struct {
	Site    string
	Boxes   int
	Seed    uint64
	Seconds int
	Log     *zap.Logger
	Out     io.Writer
}

// Times of the demo as shares of its length, and bounds.
const (
	plannedAt  = 0.25 // A box is stopped as planned.
	cutAt      = 0.45 // A box is cut off.
	replacedAt = 0.55 // A box takes the place of the one that was cut off.
	reclaimAt  = 0.65 // A workspace reclaims its guarantee.
	settleMost = 25 * time.Second
	readyMost  = 10 * time.Second
	progress   = time.Second
	standinURL = "127.0.0.1:7400" // In the sites' files.
)

// demo is one run.
type demo struct {
	Options
	config   *contract.Site
	text     string
	keys     map[string]string // By name of a caller or operator.
	platform *standin.Platform
	fleet    *fleet
	balancer *standin.Balancer
	operator *caller.Client
	load     *load
	began    time.Time
}

// Run runs the demo and returns its judgement.
func Run(ctx context.Context, o Options) (*judge.Judgement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{Options: o, keys: map[string]string{}}
	if err := d.setUp(ctx); err != nil {
		return nil, err
	}
	defer d.fleet.close()
	if err := d.putInForce(ctx); err != nil {
		return nil, err
	}
	d.began = time.Now()
	length := time.Duration(o.Seconds) * time.Second
	d.load = newLoad(d, length)
	go d.load.run(ctx)
	go d.report(ctx)
	d.script(ctx, length)
	d.load.wait(settleMost)
	return d.load.judge(), nil
}

func (d *demo) say(format string, args ...any) {
	at := 0.0
	if !d.began.IsZero() {
		at = time.Since(d.began).Seconds()
	}
	fmt.Fprintf(d.Out, "%5.1fs  %s\n", at, fmt.Sprintf(format, args...))
}

// setUp starts the stand-ins, the balancer and the boxes.
func (d *demo) setUp(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "demo: unable to listen")
	}
	d.platform = standin.NewPlatform(d.Seed, 400, 2000, 2*time.Second)
	server := &http.Server{Handler: d.platform.Handler(), ReadHeaderTimeout: time.Minute, ErrorLog: quietLog()}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := d.readSite(listener.Addr().String()); err != nil {
		return err
	}
	d.balancer = &standin.Balancer{HTTP: newTransport(), Interval: 100 * time.Millisecond}
	go d.balancer.Run(ctx)
	d.operator = d.client("day_desk")
	d.fleet, err = newFleet(d, listener.Addr().String())
	if err != nil {
		return err
	}
	for range d.Boxes {
		if err := d.fleet.add(ctx); err != nil {
			return err
		}
	}
	d.say("%d boxes, %d workers, %d executors of %s", d.Boxes, d.workers(), len(d.config.Upstreams), d.config.Name)
	return nil
}

func (d *demo) workers() int {
	n := 0
	for _, h := range d.config.Halls {
		for _, r := range h.Racks {
			n += len(r.Workers)
		}
	}
	return n
}

// readSite reads the site's file, with the stand-ins' address and keys made for this run.
func (d *demo) readSite(address string) error {
	raw, err := deploy.Sites.ReadFile(d.Site + "/site.ini")
	if err != nil {
		return errors.Errorf("demo: there is no site %q", d.Site)
	}
	raw, err = site.Expand(raw, func(file string) ([]byte, error) {
		name := strings.TrimSuffix(strings.TrimPrefix(file, "keys/"), ".hash")
		key, hash := identity.NewKey(name)
		d.keys[name] = key
		return []byte(hash), nil
	})
	if err != nil {
		return err
	}
	d.text = strings.ReplaceAll(string(raw), standinURL, address)
	d.config, err = site.Parse(d.Site, []byte(d.text))
	return err
}

// client returns a client behind the balancer.
func (d *demo) client(name string) *caller.Client {
	return &caller.Client{Boxes: []string{"http://balancer"}, Key: d.keys[name], HTTP: &http.Client{Transport: d.balancer}}
}

// putInForce applies the configuration and waits until every box has it.
func (d *demo) putInForce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyMost)
	defer cancel()
	if _, err := d.operator.Operate(ctx, http.MethodPut, "/v1/site", nil, []byte(d.text)); err != nil {
		return errors.Wrap(err, "demo: unable to apply the site")
	}
	for !d.fleet.inForce() {
		select {
		case <-ctx.Done():
			return errors.New("demo: the configuration did not come into force")
		case <-time.After(20 * time.Millisecond):
		}
	}
	d.say("the configuration is in force in every box")
	return nil
}

// script brings the faults about.
func (d *demo) script(ctx context.Context, length time.Duration) {
	bad := d.config.Halls[0].Racks[0].Workers[2].Name
	d.platform.Faults.Set(standin.Faults{FailWorkers: []string{bad}})
	d.say("worker %s fails everything from now on", bad)
	d.at(length, plannedAt)
	if d.Boxes > 1 {
		d.say("box %s is stopped as planned", d.fleet.plan(0))
	}
	d.at(length, cutAt)
	if d.Boxes > 2 {
		d.say("box %s is cut off", d.fleet.cut(1))
	}
	d.at(length, replacedAt)
	if err := d.fleet.add(ctx); err != nil {
		d.say("a new box could not start: %v", err)
	} else {
		d.say("a new box takes a place")
	}
	d.at(length, reclaimAt)
	d.load.reclaim(ctx)
	d.at(length, 1)
	d.say("the burst is over; what is open is settled")
}

func (d *demo) at(length time.Duration, share float64) {
	time.Sleep(time.Until(d.began.Add(time.Duration(share * float64(length)))))
}

// report prints where things stand every second.
func (d *demo) report(ctx context.Context) {
	interval.Every(ctx, progress, func(context.Context) {
		requests, settled := d.load.counts()
		d.say("%d requests, %d settled; %d boxes ready", requests, settled, d.fleet.ready())
	})
}

// Good reports whether every promise held, everything was settled and the guarantee came back.
func Good(j *judge.Judgement) bool {
	return j.Broken() == 0 && j.Settled == j.Requests && j.Requests > 0 && j.GuaranteesReclaimed > 0
}
