package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/emulator"
	"github.com/pulleyring/pulleyring/internal/interval"
	"github.com/pulleyring/pulleyring/internal/job"
	"github.com/pulleyring/pulleyring/platform/standin"
)

// Events of lines.
const (
	eventListening    = "listening"
	eventBegan        = "began"
	eventEnded        = "ended"
	eventListed       = "listed"
	eventAcknowledged = "acknowledged"
	eventLeased       = "leased"
	eventLeft         = "left"
	eventKilled       = "killed"
)

// Line is what a role prints of what has happened there.
type Line struct {
	At      time.Time `json:"at"`
	Worker  string    `json:"worker,omitempty"`
	Event   string    `json:"event"`
	Address string    `json:"address,omitempty"`
	Task    string    `json:"task,omitempty"`
	Run     int       `json:"run,omitempty"`
	Outcome string    `json:"outcome,omitempty"`
	Number  int64     `json:"number,omitempty"` // Of an end, or of the last end listed or acknowledged.
	Until   time.Time `json:"until,omitzero"`   // Of a lease.
}

// printer prints lines.
type printer struct {
	mu  sync.Mutex
	out io.Writer
}

func (p *printer) print(l Line) {
	if l.At.IsZero() {
		l.At = time.Now()
	}
	raw, err := json.Marshal(l)
	if err != nil {
		raw = []byte(err.Error())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = p.out.Write(append(raw, '\n')) // Without the rig nobody reads it.
}

// IsRole reports whether a word names one of the rig's own processes.
func IsRole(word string) bool {
	return slices.Contains([]string{"store", "worker", "proxy", "busy"}, word)
}

// RunRole runs one of the rig's own processes until its standard input ends.
func RunRole(args []string, in io.Reader, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), roleLimit)
	defer cancel()
	lines := make(chan string)
	go func() {
		defer cancel()
		scanner := bufio.NewScanner(in)
		for scanner.Scan() {
			lines <- scanner.Text()
		}
	}()
	set := flag.NewFlagSet("rig "+args[0], flag.ContinueOnError)
	to := set.String("to", "", "")
	heartbeat := set.Duration("heartbeat", time.Second, "")
	w := &workerRole{out: &printer{out: out}, client: &http.Client{Timeout: time.Second}}
	set.StringVar(&w.face.Record.ID, "id", "", "")
	set.StringVar(&w.store, "store", "", "")
	set.DurationVar(&w.lease, "lease", 10*time.Second, "")
	slots := set.Int64("slots", 1, "")
	if err := set.Parse(args[1:]); err != nil {
		return err
	}
	switch args[0] {
	case "store":
		return runStore(ctx, *heartbeat, lines, w.out)
	case "worker":
		w.heartbeat, w.leaves, w.face.Record.Capacity = *heartbeat, -1, times(slot, *slots)
		return w.run(ctx, lines)
	case "proxy":
		return runProxy(ctx, *to, lines, w.out)
	case "busy":
		w.out.print(Line{Event: eventListening})
		return keepBusy(ctx)
	}
	return errors.Errorf("rig: unknown role %q", args[0])
}

// keepBusy uses a core until ctx ends.
func keepBusy(ctx context.Context) error {
	spent := 0
	for ctx.Err() == nil {
		spent++
	}
	return ctx.Err()
}

// slot is what a task takes.
var slot = job.Resources{MilliCPU: 1000, MemoryMB: 256}

func times(r job.Resources, n int64) job.Resources {
	return job.Resources{MilliCPU: n * r.MilliCPU, MemoryMB: n * r.MemoryMB, Accelerators: n * r.Accelerators}
}

// serve serves on a free port and prints where.
func serve(handler http.Handler, out *printer) error {
	l, err := net.Listen("tcp", loopback(0))
	if err != nil {
		return errors.Wrap(err, "rig: unable to listen")
	}
	go func() { _ = http.Serve(l, handler) }() // It ends with the process.
	out.print(Line{Event: eventListening, Address: l.Addr().String()})
	return nil
}

func runStore(ctx context.Context, heartbeat time.Duration, lines <-chan string, out *printer) error {
	s := standin.NewStore(heartbeat)
	s.Configure(standin.Manifest())
	if err := serve(s.Handler(), out); err != nil {
		return err
	}
	go s.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case id := <-lines:
			s.Drop(id)
		}
	}
}

// workerRole is the process of a worker.
type workerRole struct {
	face      standin.Worker
	out       *printer
	client    *http.Client
	store     string
	lease     time.Duration
	heartbeat time.Duration

	mu       sync.Mutex
	silent   bool // It writes no record.
	sequence int64
	leaves   time.Duration // How long after its last run has ended its process does; negative for never, 0 for before anybody is told.
	running  int
}

func (w *workerRole) run(ctx context.Context, lines <-chan string) error {
	r := &w.face.Record
	r.Service, r.Hall, r.Rack, r.Labels = standin.Service, standin.Hall, "r1", []string{"kind", "r1"}
	w.face.Fleet = emulator.NewFleet(ctx, w.lease, time.Second)
	w.face.Fleet.Observe = w.observe
	w.face.Listed = func(n int64) { w.out.print(Line{Worker: r.ID, Event: eventListed, Number: n}) }
	w.face.Fleet.Add(*r)
	if err := serve(w.face.Handler(), w.out); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case line := <-lines:
			if err := w.obey(ctx, line); err != nil {
				return err
			}
		}
	}
}

// kinds are the words for events of the emulator's.
var kinds = map[emulator.EventKind]string{
	emulator.Began: eventBegan, emulator.Ended: eventEnded, emulator.Acknowledged: eventAcknowledged, emulator.Leased: eventLeased,
}

// observe prints an event; the last end of a worker that leaves ends its process a moment later.
func (w *workerRole) observe(e emulator.Event) {
	l := Line{At: e.At, Worker: w.face.Record.ID, Event: kinds[e.Kind], Run: e.Run, Number: e.Number, Until: e.Until}
	if e.Kind == emulator.Began || e.Kind == emulator.Ended {
		l.Task = e.Task.String()
	}
	if e.Kind == emulator.Ended {
		l.Outcome = e.Outcome.String()
	}
	w.out.print(l)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch e.Kind {
	case emulator.Began:
		w.running++
	case emulator.Ended:
		w.running--
		if w.running == 0 && w.leaves == 0 {
			w.leave()
		}
		if w.running == 0 && w.leaves > 0 {
			time.AfterFunc(w.leaves, w.leave)
		}
	}
}

// obey carries a line out.
func (w *workerRole) obey(ctx context.Context, line string) error {
	word, argument, _ := strings.Cut(line, " ")
	id := w.face.Record.ID
	switch word {
	case "record": // Its record names this address from now on.
		w.face.Record.Address = argument
		go interval.Every(ctx, w.heartbeat, w.beat)
	case "quiet": // It writes no record; the one that is there lapses.
		w.hush(true)
	case "beat":
		w.hush(false)
		w.beat(ctx)
	case "drain":
		d, err := time.ParseDuration(argument)
		w.mu.Lock()
		w.face.Record.Draining, w.face.Record.Leaves = true, d
		w.mu.Unlock()
		w.beat(ctx)
		return err
	case "unrecord": // Its record goes at once.
		w.hush(true)
		return standin.Unrecord(ctx, w.client, w.store, id)
	case "leave":
		w.leave()
	case "leave_after_end":
		d, err := time.ParseDuration(argument)
		w.mu.Lock()
		w.leaves = d
		w.mu.Unlock()
		return err
	case "mute", "late": // So many looks, or orders, get no answer.
		n, err := strconv.Atoi(argument)
		if err != nil {
			return errors.Wrap(err, "rig: a worker's number")
		}
		if word == "mute" {
			return w.face.Fleet.Mute(id, n)
		}
		return w.face.Fleet.Late(id, n)
	case "fail":
		return w.face.Fleet.Fail(id, argument == "on")
	default:
		return errors.Errorf("rig: a worker does not know %q", line)
	}
	return nil
}

func (w *workerRole) hush(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// beat writes the worker's record; one that fails comes again with the next.
func (w *workerRole) beat(ctx context.Context) {
	w.mu.Lock()
	record, silent := w.face.Record, w.silent
	w.sequence++
	sequence := w.sequence
	w.mu.Unlock()
	if silent {
		return
	}
	if err := standin.Beat(ctx, w.client, w.store, &record, sequence); err != nil {
		w.out.print(Line{Worker: record.ID, Event: "no record", Outcome: err.Error()})
	}
}

// leave ends the process.
func (w *workerRole) leave() {
	w.out.print(Line{Worker: w.face.Record.ID, Event: eventLeft})
	os.Exit(0)
}
