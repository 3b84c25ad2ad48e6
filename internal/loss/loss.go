// Package loss detects tasks that crash every worker on which they start, and decides when such a task is
// failed (crash-looping). Workers are also lost for many other reasons, and those losses must not count
// against a task. The package does no I/O and reads no clock.
//
// It is called once for each worker that is lost without an announced departure: a few times a minute
// normally, and several hundred times within seconds when halls are lost. Its state is limited to the
// losses within ProvenAfter.
package loss

import (
	"time"

	"github.com/pulleyring/pulleyring/internal/incarnation"
	"github.com/pulleyring/pulleyring/internal/job"
)

// Limits of the losses counted against a task. The users allow a task to be failed once it has crashed two
// workers, and forbid to start it three more times after its third crash. Five starts in all never break that
// limit, however their runs end.
const (
	// MaxImmediateLosses is the number of workers lost alone, right after a task had started there, at
	// which the task is failed. Two would fail it one worker earlier, but would also fail more sound
	// tasks: with 30% of 350 workers crashing every 3 s, six times, 61 sound tasks lost two workers that
	// way and 5 lost three.
	MaxImmediateLosses = 3
	// MaxCountedLosses is the number of counted losses at which a task is failed. With a fifth of the
	// workers crashing three times within 8 s, no sound task lost four.
	MaxCountedLosses = 4
	// ExclusiveAfter is the number of counted losses after which a task runs alone on its workers. The next
	// loss then shows whether the task or another one crashes them, and affects no other task.
	ExclusiveAfter = 2
	// MaxLossesAndStarts limits the number of workers lost under a task for any reason, plus the starts that
	// count like losses (see StartsCount). The task is failed when it reaches the limit and at least
	// minCountedLosses losses count against it.
	MaxLossesAndStarts = 5
	// minCountedLosses is the number of counted losses that MaxLossesAndStarts and StartsCount require.
	minCountedLosses = 2
	// MaxExpectedLosses is the limit of the losses that no task caused and that are expected during a run.
	// Above it the loss of the run does not count. A task may crash its workers at any age. But a sound task
	// whose runs are long, compared with the time between two losses of a worker, often loses several in a row.
	MaxExpectedLosses = 0.5
	// MaxExpectedLossesIfRepeated replaces MaxExpectedLosses once minCountedLosses losses count against the
	// task. Losses below this limit still count, so that the task is failed one worker earlier than by
	// MaxLossesAndStarts.
	MaxExpectedLossesIfRepeated = 0.125
)

const (
	// ImmediateWithin is the limit for an immediate loss: the worker was last seen no later than this after the
	// task's start. Workers crashed 10 ms after the start, and a worker that runs well is seen again at the
	// next poll, after 1.5 s.
	ImmediateWithin = 500 * time.Millisecond
	// NotImmediateAfter is how long after a task's start a worker must be seen to show that the task does not
	// crash it immediately.
	NotImmediateAfter = 4 * ImmediateWithin
	// AlwaysCountedWithin is the age of a run up to which its loss counts even if workers are often lost for
	// other reasons. The age is taken when the worker was last seen.
	AlwaysCountedWithin = 30 * time.Second
	// SimultaneousWindow is the longest time between the detection of two losses that happened at the same
	// time. The loss of an idle worker is detected only when its record expires, about 5 s (three
	// heartbeats of 1.5 s, and the delay of the feed) after the loss of a worker that is polled.
	SimultaneousWindow = 8 * time.Second
	// ProvenAfter is the time after the report of a loss from which the worker is taken to have ended. Until
	// then it may only be cut off: network cuts of up to 16 s were seen.
	ProvenAfter = 30 * time.Second
	// minOthersLost is the number of workers without a suspect task that must be lost at the same time as
	// another worker. The loss of that worker is then no task's fault.
	minOthersLost = 3
	// minGroupShare is the share of the workers of a hall or rack that must be lost together for it to
	// count as lost.
	minGroupShare = 0.5
)

// Run is a run that was lost with its worker.
type Run struct {
	Task           job.Task
	LossesBefore   job.Losses    // Losses counted against its task before this one.
	SeenAfterStart time.Duration // Time from its start until the worker was last seen.
	// StartedByPredecessor is set if a previous lease holder started the run, so that its age is unknown.
	StartedByPredecessor bool
}

// isImmediate reports whether the worker was last seen at most ImmediateWithin after the start of the run, so
// that the task may have crashed it on starting.
func (r *Run) isImmediate() bool {
	return !r.StartedByPredecessor && r.SeenAfterStart <= ImmediateWithin
}

// Group is a hall or a rack: workers that may be lost together.
type Group struct {
	Name string
	Size int // Number of known workers, including the lost one.
}

// Worker is a worker that was lost without an announced departure. It was lost at some time after LastSeen and
// before CommandUnanswered, or before the loss was reported if CommandUnanswered is zero.
type Worker struct {
	Incarnation incarnation.ID // Incarnation that was lost.
	Address     string
	Hall        Group
	Rack        Group
	LastSeen    time.Time // Time at which it was last seen.
	// Time by which it had left a command unanswered, after it was last seen; zero if it had not.
	CommandUnanswered time.Time
	EndProven         bool  // Its process has surely ended; otherwise it may be cut off and still run.
	Runs              []Run // Runs that were lost with it.
}

// CountChange is a change of the losses counted against a task.
type CountChange struct {
	Task   job.Task
	Change job.Losses
	Reason Reason
	Worker incarnation.ID // Incarnation that was lost.
	Run    *Run           // Run that was lost with it.
}

// Reason says why the loss of a worker counts against a task, or why it does not.
type Reason int

// Reasons.
const (
	CountedImmediate Reason = iota // Counts as an immediate loss: the task had just started.
	Counted                        // Counts: the task may have caused it.
	OtherJobBlamed                 // Does not count: a run of another job there is blamed.
	// Does not count: it may be chance, and minCountedLosses losses count already. The fifth loss fails the task.
	RepeatedChance
	LikelyChance // Does not count: a worker may well be lost for other reasons during a run of that length.
	GroupLost    // Does not count: most of the hall or rack was lost.
	OthersLost   // Does not count: other workers were lost at the same time.
	StillRuns    // Does not count: the worker still runs. The start counts if StartsCount reports true.
	NeverStarted // Does not count: the run never started there.
)

// String returns the reason for logs.
func (r Reason) String() string {
	return [...]string{
		"it had just begun", "it may have done it", "beside another with more counted against it", "may be chance again", "likely chance", "lost with its hall or rack",
		"lost with other workers", "the worker runs on", "it never began there",
	}[r]
}

// Verdict says whether a task may start.
type Verdict int

// Verdicts.
const (
	MayStart     Verdict = iota // It may start.
	OnHold                      // It must not start until it is known whether unreachable workers crashed under it.
	CrashLooping                // It must be failed (crash-looping).
)

// Verdict returns the verdict for a task with the given counted losses.
func (d *Detector) Verdict(t job.Task, counted job.Losses, now time.Time) Verdict {
	switch {
	case !isCrashLooping(counted):
		return MayStart
	case isCrashLooping(counted.Sub(d.UnprovenLosses(t, now))):
		return CrashLooping
	}
	return OnHold
}

// startsCountFrom is the number of workers lost under a task after which each further start counts like a lost
// worker, if at least minCountedLosses of the losses count. A start counts however its run ends, also by a stop
// or by the end of another member of its gang, because at most two starts are allowed after the third crash.
const startsCountFrom = 3

// StartsCount reports whether each further start of a task with these losses counts like a lost worker.
func StartsCount(l job.Losses) bool { return l.All >= startsCountFrom && l.Counted >= minCountedLosses }

// isCrashLooping reports whether a task with these losses must be failed (crash-looping).
func isCrashLooping(l job.Losses) bool {
	return l.AtOnce >= MaxImmediateLosses || l.Counted >= MaxCountedLosses || l.All >= MaxLossesAndStarts && l.Counted >= minCountedLosses
}
