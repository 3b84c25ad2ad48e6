package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pulleyring/pulleyring/internal/job"
)

const (
	// LateFactor limits how late a job may be: it still earns a part of its value if it ends within LateFactor times its
	// allowed time.
	LateFactor = 3
	// MaxAge is the age above which a summary is ignored.
	MaxAge = 5 * time.Second
	// maxClockLead is how far the clock of the scheduler's box may be ahead of this box's. A summary from further in the
	// future is ignored, because its age is unknown.
	maxClockLead = time.Second
	// runTimeMargin is the factor on the declared run time of a job. The real one may be up to twice as long, and a
	// longer job is allowed more time.
	runTimeMargin = 2
)

// Summary is a summary of the load as a box has received it.
type Summary struct {
	*Load           // nil if there is none.
	Seen  time.Time // When the box first saw this summary; zero if it may be of any age.
}

// age returns the time since a summary was made; false if the summary is not current. The time since the box first saw
// it is a lower bound of its age, whatever the clock of the scheduler's box shows.
func (s *Summary) age(now time.Time) (age time.Duration, current bool) {
	if s.Load == nil {
		return 0, false
	}
	byWriter, bySight := now.Sub(time.UnixMilli(s.Made)), now.Sub(s.Seen)
	age = max(byWriter, bySight, 0)
	return age, age <= MaxAge && byWriter >= -maxClockLead
}

// IsFull reports whether the jobs of a workspace take as much memory as they may.
func (s *Summary) IsFull(workspace string, now time.Time) bool {
	return s.isFullKnown(now) && slices.Contains(s.Full.Workspaces, workspace)
}

// AreCancellationsFull reports whether cancellations of unknown jobs take as much memory as they may.
func (s *Summary) AreCancellationsFull(now time.Time) bool {
	return s.isFullKnown(now) && s.Full.Cancellations
}

// maxFullAge is the age above which it is no longer known what is full. It covers the time without a scheduler: a box
// that takes over reads all jobs, and more must not be added meanwhile.
const maxFullAge = 30 * time.Second

func (s *Summary) isFullKnown(now time.Time) bool {
	return s.Load != nil && now.Sub(time.UnixMilli(s.Made)).Abs() <= maxFullAge
}

// Decision tells whether a submission is refused, and from which figures that follows.
type Decision struct {
	Refuse     bool
	RetryAfter time.Duration // Whole seconds after which the caller should try again; 0 if the submission is not refused.
	Wait       time.Duration // Expected time until the job would start.
	Run        time.Duration // Longest expected time from its start to its end.
	MaxWait    time.Duration // Longest wait with which it would still end within LateFactor times its allowed time.
}

// Decide decides on a submission with its terms. guaranteed is the number of accelerators that are guaranteed to its
// workspace. It refuses only what surely can't end within LateFactor times its allowed time.
func Decide(s *Summary, r *job.Request, guaranteed int64, now time.Time) Decision {
	age, current := s.age(now)
	if !current || isExempt(r, guaranteed) {
		return Decision{}
	}
	q, known := s.Queues[r.Terms.Queue]
	run := longestRun(r, &q)
	if !known || run <= 0 {
		return Decision{}
	}
	wait := q.waitOf(r) - age.Seconds() // The work that comes first may have progressed since.
	most := LateFactor*(r.Terms.Stretch*run+r.Terms.Objective.Seconds()) - run
	d := Decision{Refuse: wait > 0 && wait > most, Wait: seconds(max(wait, 0)), Run: seconds(run), MaxWait: seconds(most)}
	if d.Refuse {
		d.RetryAfter = retryAfter(wait-most, r)
	}
	return d
}

// isExempt reports whether a job is never refused for load: it can wait, it has no end, its queue does not limit its
// time, or it may be within its workspace's guarantee.
func isExempt(r *job.Request, guaranteed int64) bool {
	if r.Schedule.Times > 0 || r.Terms.Stretch <= 0 {
		return true
	}
	for i := range r.Steps {
		if r.Steps[i].Lasting {
			return true
		}
	}
	return r.Terms.Priority <= 0 && r.PeakAccelerators() <= guaranteed
}

// longestRun returns the longest expected run time of the longest chain of steps, in seconds; 0 if the caller has
// declared no run time for one of the steps.
func longestRun(r *job.Request, q *Queue) float64 {
	ends := make([]float64, len(r.Steps))
	longest := 0.0
	for i := range r.Steps {
		s := &r.Steps[i]
		if s.Estimate <= 0 {
			return 0
		}
		for _, before := range s.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += s.Estimate.Seconds()
		longest = max(longest, ends[i])
	}
	return longest * runTimeMargin * max(1, float64(q.RunTimeRatio)/1000)
}

// waitOf returns the expected time until the first task of a job can start, in seconds.
func (q *Queue) waitOf(r *job.Request) float64 {
	least := math.Inf(1)
	for i := range r.Steps {
		s := &r.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		w := &q.Waits[ClassOf(s)]
		if !w.holdsFor(s.Each) {
			return 0
		}
		least = min(least, float64(w.Ms)/1000)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

const (
	// maxRetryAfter limits the time after which a caller is told to try again, before it is spread over the callers.
	maxRetryAfter = time.Minute
	// retrySpread is the part of that time over which the callers of one priority are spread. Each lower priority
	// follows after the one before it.
	retrySpread = 0.5
	// maxRetryPriority is the lowest priority that is told to return later than the one before it.
	maxRetryPriority = 2
)

// retryAfter returns when the caller of a refused job should try again, given by how many seconds the wait must fall.
func retryAfter(excess float64, r *job.Request) time.Duration {
	base := min(max(excess, 1), maxRetryAfter.Seconds())
	spread := retrySpread*base + 1
	share := float64(xxhash.Sum64String(string(r.ID))) / math.MaxUint64
	after := base + spread*(float64(min(max(r.Terms.Priority, 0), maxRetryPriority))+share)
	return time.Duration(math.Ceil(after)) * time.Second
}

// seconds converts a number of seconds to a duration. Run times of several centuries exceed a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}

const maxSeconds = 1e9
