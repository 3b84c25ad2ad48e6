// Package demo runs a whole site in one process over loopback sockets: stand-ins, boxes and callers. It sends a burst
// of requests, injects faults and checks the outcome against the records of the stand-ins and the callers.
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

// Options configures a run of the demo.
type Options struct {
	Site    string
	Boxes   int
	Seed    uint64
	Seconds int
	Log     *zap.Logger
	Out     io.Writer
}

// Times of the demo's events, as shares of its length, and timeouts.
const (
	plannedStopAt    = 0.25 // A box's planned stop begins.
	killAt           = 0.45 // A box is killed.
	replaceAt        = 0.55 // A new box replaces the killed one.
	reclaimAt        = 0.65 // A workspace reclaims its guarantee.
	settleTimeout    = 25 * time.Second
	readyTimeout     = 10 * time.Second
	progressInterval = time.Second
	standinAddress   = "127.0.0.1:7400" // The stand-ins' address in the sites' files.
)

// demo is the state of one run.
type demo struct {
	Options
	config    *contract.Site
	siteText  string
	keys      map[string]string // By the name of the caller or operator.
	platform  *standin.Platform
	fleet     *fleet
	balancer  *standin.Balancer
	operator  *caller.Client
	load      *load
	startedAt time.Time
}

// Run runs the demo and returns the judgement of its outcome.
func Run(ctx context.Context, o Options) (*judge.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{Options: o, keys: map[string]string{}}
	if err := d.setUp(ctx); err != nil {
		return nil, err
	}
	defer d.fleet.close()
	if err := d.applySite(ctx); err != nil {
		return nil, err
	}
	d.startedAt = time.Now()
	length := time.Duration(o.Seconds) * time.Second
	d.load = newLoad(d, length)
	go d.load.run(ctx)
	go d.report(ctx)
	d.injectFaults(ctx, length)
	d.load.wait(settleTimeout)
	return d.load.judge(), nil
}

// printf prints a line that starts with the seconds since the start of the burst.
func (d *demo) printf(format string, args ...any) {
	at := 0.0
	if !d.startedAt.IsZero() {
		at = time.Since(d.startedAt).Seconds()
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
	d.printf("%d boxes, %d workers, %d executors of %s", d.Boxes, d.workers(), len(d.config.Upstreams), d.config.Name)
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

// readSite reads the site's file, replaces the stand-ins' address in it and creates new keys for this run.
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
	d.siteText = strings.ReplaceAll(string(raw), standinAddress, address)
	d.config, err = site.Parse(d.Site, []byte(d.siteText))
	return err
}

// client returns a client with the key of a caller or operator; it sends its requests through the balancer.
func (d *demo) client(name string) *caller.Client {
	return &caller.Client{Boxes: []string{"http://balancer"}, Key: d.keys[name], HTTP: &http.Client{Transport: d.balancer}}
}

// applySite applies the configuration and waits until every box has it.
func (d *demo) applySite(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if _, err := d.operator.Operate(ctx, http.MethodPut, "/v1/site", nil, []byte(d.siteText)); err != nil {
		return errors.Wrap(err, "demo: unable to apply the site")
	}
	for !d.fleet.configApplied() {
		select {
		case <-ctx.Done():
			return errors.New("demo: the boxes did not apply the configuration in time")
		case <-time.After(20 * time.Millisecond):
		}
	}
	d.printf("the configuration is in force in every box")
	return nil
}

// injectFaults injects the faults at their times and returns at the end of the burst.
func (d *demo) injectFaults(ctx context.Context, length time.Duration) {
	bad := d.config.Halls[0].Racks[0].Workers[2].Name
	d.platform.Faults.Set(standin.Faults{FailWorkers: []string{bad}})
	d.printf("worker %s fails everything from now on", bad)
	d.sleepUntil(length, plannedStopAt)
	if d.Boxes > 1 {
		d.printf("box %s is stopped as planned", d.fleet.beginPlannedStop(0))
	}
	d.sleepUntil(length, killAt)
	if d.Boxes > 2 {
		d.printf("box %s is cut off", d.fleet.kill(1))
	}
	d.sleepUntil(length, replaceAt)
	if err := d.fleet.add(ctx); err != nil {
		d.printf("a new box could not start: %v", err)
	} else {
		d.printf("a new box takes a place")
	}
	d.sleepUntil(length, reclaimAt)
	d.load.reclaim(ctx)
	d.sleepUntil(length, 1)
	d.printf("the burst is over; what is open is settled")
}

// sleepUntil sleeps until a share of the demo's length has passed.
func (d *demo) sleepUntil(length time.Duration, share float64) {
	time.Sleep(time.Until(d.startedAt.Add(time.Duration(share * float64(length)))))
}

// report prints the number of requests, settled requests and running boxes every second.
func (d *demo) report(ctx context.Context) {
	interval.Every(ctx, progressInterval, func(context.Context) {
		requests, settled := d.load.counts()
		d.printf("%d requests, %d settled; %d boxes ready", requests, settled, d.fleet.runningCount())
	})
}

// Passed reports whether no promise was broken, all requests were settled and at least one block of the guarantee was
// reclaimed in time.
func Passed(j *judge.Report) bool {
	return j.Violations() == 0 && j.Settled == j.Requests && j.Requests > 0 && j.GuaranteesReclaimed > 0
}
