// Package fleet defines the interface to the workers: their records, the commands that they accept and their reports.
package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// Worker is the record that one incarnation of a worker keeps of itself in the store. A restarted worker may keep its
// ID or get a new one.
type Worker struct {
	ID       string
	Born     int64 // Start of the incarnation by the worker's clock, Unix time in ms; 0 if not reported.
	Service  string
	Address  string // IP:port at which it accepts commands.
	Hall     string
	Draining bool          // It accepts no new runs; its runs end when it leaves.
	TimeLeft time.Duration // While draining: minimum time until it leaves.
	Labels   []string
	Rack     string
	Capacity job.Resources
	Version  int64 // Version of the record in the store; 0 if not known.
}

// Incarnation returns the incarnation that the record belongs to.
func (w *Worker) Incarnation() incarnation.ID { return incarnation.ID{Worker: w.ID, Born: w.Born} }

// Errors of commands that got no answer or were not sent.
var (
	// ErrNoAnswer means that the command may have been carried out, or may still be carried out seconds later.
	ErrNoAnswer = errors.New("fleet: no answer")
	// ErrConnectionClosed is an ErrNoAnswer: the worker closed the connection properly, as happens when its process
	// ends. After a network failure, the connection is reset or stays silent instead.
	ErrConnectionClosed = errors.WithMessage(ErrNoAnswer, "fleet: the worker closed the connection")
	// ErrNotSent means that the command was never sent, because there was no connection.
	ErrNotSent = errors.New("fleet: command not sent")
	// ErrConnectionRefused means that the command was never sent, because no process listens at the worker's address.
	ErrConnectionRefused = errors.New("fleet: no process listens at the worker's address")
)

// Refusal is the reason for which a worker refused a command. A refused command has no effect.
type Refusal int

// Reasons of refusals.
const (
	Fenced           Refusal = iota // The worker has seen a higher fencing token.
	OutdatedRun                     // This run or a later one of the task was stopped or has ended on the worker.
	LeaseExpired                    // The lease in the command has expired.
	NoCapacity                      // The worker has too little free capacity.
	OtherIncarnation                // The worker has restarted; runs of the addressed incarnation are gone.
	Unhealthy                       // The worker accepts no commands at present.
	Invalid                         // The worker can't interpret the command.
)

// Error implements error.
func (r Refusal) Error() string {
	names := [...]string{"fenced", "outdated run", "lease over", "no room", "other life", "unhealthy", "invalid order"}
	return fmt.Sprintf("fleet: refused: %s", names[r])
}

// Start is the command to start a run.
type Start struct {
	job.PlacedRun
	Payload string
	Lease   int64 // End of the lease of all runs on the worker, by the worker's clock in ms.
	Token   int64 // Fencing token.
}

// Stop is the command to stop a run. If it arrives before the Start of the run, the worker refuses that Start.
type Stop struct {
	Task  job.Task
	Run   int
	Token int64
}

// Poll is the command to renew the lease of all runs on a worker and to report its running and ended runs.
type Poll struct {
	Token        int64
	Acknowledged int64         // Number of the last end that the worker may delete.
	Lease        int64         // End of the lease of all runs, by the worker's clock in ms; 0 to leave it unchanged.
	Wait         time.Duration // How long the worker may delay the answer until a run ends.
}

// Run is a run on a worker.
type Run struct {
	Task  job.Task
	Run   int
	Saved string
	Done  float64 // Completed share of its work, 0 to 1; negative if not reported. 1 for a lasting task at work.
}

// End is a run that has ended on a worker.
type End struct {
	Number  int64
	Task    job.Task
	Run     int
	Outcome job.Outcome
	Saved   string
}

// Report is the answer to a poll.
type Report struct {
	Incarnation incarnation.ID // The incarnation that answers.
	Clock       int64          // Worker's clock in ms.
	Running     []Run
	Ended       []End // In ascending order of Number.
	More        bool  // The report was full; there may be further ends.
}

// Commands sends commands to workers. A call returns when ctx ends at the latest. Its error is a Refusal or one of
// ErrNoAnswer, ErrConnectionClosed, ErrNotSent and ErrConnectionRefused. The returned clock is the worker's, in
// ms; 0 if not reported.
type Commands interface {
	Start(ctx context.Context, w *Worker, o *Start) (clock int64, err error)
	Stop(ctx context.Context, w *Worker, o *Stop) (clock int64, err error)
	Poll(ctx context.Context, w *Worker, o *Poll) (Report, error)
}
