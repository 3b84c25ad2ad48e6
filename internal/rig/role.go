package rig

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
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

// Values of Line.Event.
const (
	eventListening    = "listening"
	eventRecord       = "record"
	eventBegan        = "began"
	eventEnded        = "ended"
	eventListed       = "listed"
	eventAcknowledged = "acknowledged"
	eventLeased       = "leased"
	eventLeft         = "left"
	eventKilled       = "killed"
)

// Line is one JSON line that a process of the rig prints to report an event.
type Line struct {
	At      time.Time `json:"at"`
	Worker  string    `json:"worker,omitempty"` // Name of one incarnation of a worker.
	ID      string    `json:"id,omitempty"`     // Key of the worker's record.
	Event   string    `json:"event"`
	Address string    `json:"address,omitempty"`
	// The record to write to the store; empty if the worker has left.
	Record  json.RawMessage `json:"record,omitempty"`
	Task    string          `json:"task,omitempty"`
	Run     int             `json:"run,omitempty"`
	Outcome string          `json:"outcome,omitempty"`
	Number  int64           `json:"number,omitempty"` // Of an end, or of the last end listed or acknowledged.
	Until   time.Time       `json:"until,omitzero"`   // Expiry of a lease.
	Gang    int             `json:"gang,omitempty"`   // Number of members of the run's gang.
}

// Role is the JSON argument that tells one of the rig's own processes what to do.
type Role struct {
	Kind       string // store, worker, proxy or busy.
	Worker     string // Name of one incarnation of a worker, unique in a play.
	ID         string // Name under which the worker records itself; empty if it is the same as Worker.
	To         string // Address to which a proxy forwards connections.
	Port       int    // Port on which a proxy listens.
	Slots      int64
	Lease      time.Duration
	Heartbeat  time.Duration
	Drift      float64 // Fraction by which a worker's clock runs slow.
	TimeFactor float64 // Factor by which work takes longer on a worker.
}

// printer writes lines, safe for concurrent use.
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
	// A write error means that the rig has ended, so nobody reads the line.
	_, _ = p.out.Write(append(raw, '\n'))
}

// RunRole runs one of the rig's own processes, described by the JSON of a Role, until its standard input ends.
func RunRole(raw string, in io.Reader, out io.Writer) error {
	var r Role
	if err := json.Unmarshal([]byte(raw), &r); err != nil {
		return errors.Wrap(err, "rig: unable to read a role")
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRoleTime)
	defer cancel()
	execute, err := r.begin(ctx, &printer{out: out})
	if err != nil {
		return err
	}
	time.AfterFunc(maxRoleTime, func() { os.Exit(1) })
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if err := execute(lines.Text()); err != nil {
			return err
		}
	}
	return lines.Err()
}

// begin starts the process's work and returns the function that executes its command lines.
func (r *Role) begin(ctx context.Context, out *printer) (execute func(line string) error, err error) {
	switch r.Kind {
	case "store":
		s := standin.NewStore(r.Heartbeat)
		go s.Run(ctx)
		execute = func(line string) error {
			word, rest, _ := strings.Cut(line, " ")
			first, more, _ := strings.Cut(rest, " ")
			if word == "record" {
				s.Record(first, []byte(more))
				return nil
			}
			return s.InjectFault(word, first)
		}
		return execute, serve(s.Handler(), out)
	case "worker":
		w := newWorker(ctx, r, out)
		return func(line string) error { return w.execute(ctx, line) }, serve(w.control.Handler(), out)
	case "proxy":
		p, err := newProxy(r.To, r.Port)
		if err == nil {
			out.print(Line{Event: eventListening, Address: p.address})
		}
		return p.setMode, err
	case "busy":
		go keepBusy(ctx)
		out.print(Line{Event: eventListening})
		return func(string) error { return nil }, nil
	}
	return nil, errors.Errorf("rig: unknown role %q", r.Kind)
}

// keepBusy uses a core until ctx ends.
func keepBusy(ctx context.Context) {
	spent := 0
	for ctx.Err() == nil {
		spent++
	}
}

// serve serves on a free port and prints its address.
func serve(handler http.Handler, out *printer) error {
	l, err := net.Listen("tcp", loopback(0))
	if err != nil {
		return errors.Wrap(err, "rig: unable to listen")
	}
	go func() { _ = http.Serve(l, handler) }() // It runs until the process ends.
	out.print(Line{Event: eventListening, Address: l.Addr().String()})
	return nil
}

// taskResources is the resources that a task uses.
var taskResources = job.Resources{MilliCPU: 1000, MemoryMB: 256}

// worker is the state of a worker process.
type worker struct {
	incarnation string // Name of this incarnation, unique in a play.
	control     standin.Worker
	out         *printer
	heartbeat   time.Duration

	mu       sync.Mutex
	silent   bool // It writes no record.
	sequence int64
	running  int
	// Time between the end of its last run and the end of the process. Negative if it does not leave, 0 to end
	// before the end of the run is reported.
	leaveDelay time.Duration
}

func newWorker(ctx context.Context, r *Role, out *printer) *worker {
	w := &worker{incarnation: r.Worker, out: out, heartbeat: r.Heartbeat, leaveDelay: -1}
	record := &w.control.Record
	record.ID, record.Service, record.Hall, record.Labels = cmp.Or(r.ID, r.Worker), standin.Service, standin.Hall, []string{"kind", "rack"}
	record.Capacity = job.Resources{MilliCPU: r.Slots * taskResources.MilliCPU, MemoryMB: r.Slots * taskResources.MemoryMB}
	w.control.Fleet = emulator.NewFleet(ctx, r.Lease, time.Second)
	w.control.Fleet.Observe = w.observe
	w.control.EndsSent = func(n int64) { out.print(Line{Worker: r.Worker, Event: eventListed, Number: n}) }
	w.control.Fleet.SetDrift(r.Drift)
	w.control.TimeFactor = r.TimeFactor
	*record = w.control.Fleet.Add(*record)
	return w
}

// eventNames maps the emulator's events to the values of Line.Event.
var eventNames = map[emulator.EventKind]string{
	emulator.Began: eventBegan, emulator.Ended: eventEnded, emulator.Acknowledged: eventAcknowledged, emulator.LeaseChanged: eventLeased,
}

// observe prints an event of the emulator. It ends the process when the worker is leaving and its last run has
// ended.
func (w *worker) observe(e emulator.Event) {
	l := Line{At: e.At, Worker: w.incarnation, Event: eventNames[e.Kind], Run: e.Run, Number: e.Number, Until: e.Until, Gang: e.Gang}
	if e.Run > 0 {
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
		if w.running == 0 && w.leaveDelay == 0 {
			w.leave()
		}
		if w.running == 0 && w.leaveDelay > 0 {
			time.AfterFunc(w.leaveDelay, w.leave)
		}
	}
}

// leave reports that the worker has left and ends the process.
func (w *worker) leave() {
	w.out.print(Line{Worker: w.incarnation, ID: w.control.Record.ID, Event: eventLeft})
	os.Exit(0)
}

// execute executes a command line.
func (w *worker) execute(ctx context.Context, line string) (err error) {
	word, argument, _ := strings.Cut(line, " ")
	number := 0
	switch word {
	case "mute", "late":
		number, err = strconv.Atoi(argument)
	}
	if err != nil {
		return errors.Wrap(err, "rig: unable to read the number in a worker's command")
	}
	id := w.control.Record.ID
	switch word {
	case "record": // The worker's record carries this address from now on.
		w.update(func() { w.control.Record.Address = argument })
		go interval.Every(ctx, w.heartbeat, func(context.Context) { w.printRecord() })
	case "quiet": // It stops writing its record, so that the existing one expires.
		w.update(func() { w.silent = true })
	case "unrecord": // It removes its record at once.
		w.update(func() { w.silent = true })
		w.out.print(Line{Worker: w.incarnation, ID: id, Event: eventRecord})
	case "beat":
		w.update(func() { w.silent = false })
		w.printRecord()
	case "drain": // It announces that it leaves after a time.
		w.update(func() {
			w.control.Record.Draining = true
			w.control.Record.TimeLeft, err = time.ParseDuration(argument)
		})
		w.printRecord()
	case "leave":
		w.leave()
	case "leave_after_end": // Its process ends this long after its last run.
		w.update(func() { w.leaveDelay, err = time.ParseDuration(argument) })
	case "mute": // This many polls get no answer.
		return w.control.Fleet.DropAnswers(id, number)
	case "late": // This many commands get no answer and are executed late.
		return w.control.Fleet.DelayCommands(id, number)
	case "member":
		return w.applyMemberEvent(argument)
	case "fail":
		return w.control.Fleet.FailRuns(id, argument == "on")
	default:
		return errors.Errorf("rig: unknown command of a worker: %q", line)
	}
	return err
}

// applyMemberEvent applies an event of a gang member that runs on another worker.
func (w *worker) applyMemberEvent(raw string) error {
	var l Line
	if err := json.Unmarshal([]byte(raw), &l); err != nil {
		return errors.Wrap(err, "rig: unable to read an event of a gang member")
	}
	task, err := job.ParseTask(l.Task)
	e := emulator.Event{Kind: emulator.Began, Task: task, Run: l.Run, Gang: l.Gang, Outcome: job.GangBroken}
	if l.Event == eventEnded {
		e.Kind = emulator.Ended
	}
	if l.Outcome == job.Succeeded.String() {
		e.Outcome = job.Succeeded
	}
	w.control.Fleet.ApplyRemoteEvent(e)
	return err
}

func (w *worker) update(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	do()
}

// printRecord prints the worker's record, which the rig forwards to the store.
func (w *worker) printRecord() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent {
		return
	}
	w.sequence++
	record, err := standin.EncodeRecord(&w.control.Record, w.sequence)
	if err != nil {
		panic(err) // The record holds only numbers and strings, which can always be encoded.
	}
	w.out.print(Line{Worker: w.incarnation, ID: w.control.Record.ID, Event: eventRecord, Record: record})
}
