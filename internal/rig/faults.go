package rig

import (
	"slices"
	"strings"
	"time"
)

// Limits from the users' pages that a box must meet while no fault is active nearby.
const (
	undisturbedBefore = 3 * time.Second        // Time after the last fault from which the limits hold.
	cancelWithin      = 3 * time.Second        // From a cancellation to the last start of its job.
	visibleWithin     = 3 * time.Second        // From the acceptance of a job until every box knows it.
	configWithin      = 2 * time.Second        // Until a new configuration is in force.
	stopWithin        = 400 * time.Millisecond // From the command to stop a run to its end.
	requestReadWithin = 200 * time.Millisecond // Until a box has read a request that was written.
	// shutdownWithin is the time in which a box must end after it is told to, and shutdownSlack the time after that
	// in which a connection may still be cut by the shutdown.
	shutdownWithin, shutdownSlack = 6 * time.Second, time.Second
)

// faultPeriod is the time in which a fault affects a process or its connections.
type faultPeriod struct {
	target, verb string
	from, to     time.Time // "to" is zero while the fault is active.
}

// faultHistory records the faults of a play, and when the configuration was changed.
type faultHistory struct {
	list       []*faultPeriod
	configured []time.Time
	lease      time.Duration
	kinds      map[string]int // Number of faults by kind.
}

// healingVerbs are the verbs that end the faults of a target.
var healingVerbs = []string{"pass", "continue", "beat", "up", "restart", "return", "again"}

// harmlessVerbs are the verbs that cause no fault.
var harmlessVerbs = []string{"reload", "forget", "twin"}

// leavingVerbs are the verbs of a worker that leaves as planned.
var leavingVerbs = []string{"drain", "leave", "leave_after_end"}

// temporaryVerbs are the verbs whose effect ends without another step, at the latest when all leases of the target have
// expired.
var temporaryVerbs = append([]string{"mute", "late", "unrecord", modeStale}, leavingVerbs...)

// record records a step that targets a process.
func (h *faultHistory) record(s *Step, now time.Time) {
	heal := slices.Contains(healingVerbs, s.Verb) || s.Verb == "fail" && s.Args[0] == "off"
	if heal {
		h.heal(s, now)
		return
	}
	kind := strings.TrimRight(s.Target, "0123456789")
	if before, part, isPart := strings.Cut(s.Target, "."); isPart {
		kind = strings.TrimRight(before, "0123456789") + "." + part
	}
	h.count(strings.ReplaceAll(kind, "-", "") + " " + s.Verb)
	if slices.Contains(harmlessVerbs, s.Verb) {
		return
	}
	period := &faultPeriod{target: s.Target, verb: s.Verb, from: now}
	if slices.Contains(temporaryVerbs, s.Verb) {
		period.to = now.Add(h.lease)
	}
	h.list = append(h.list, period)
}

func (h *faultHistory) count(kind string) {
	if h.kinds == nil {
		h.kinds = map[string]int{}
	}
	h.kinds[kind]++
}

// heal ends the active faults of a target. For a worker they end one lease later, because its earlier runs are known
// to have ended only when its lease has expired.
func (h *faultHistory) heal(s *Step, now time.Time) {
	if strings.HasPrefix(s.Target, "w") {
		now = now.Add(h.lease)
	}
	for _, period := range h.list {
		if period.target == s.Target && period.to.IsZero() {
			period.to = now
		}
	}
}

// undisturbed reports whether no fault was active in an interval and for undisturbedBefore ahead of it, apart from the
// faults for which except returns true.
func (h *faultHistory) undisturbed(from, to time.Time, except func(period *faultPeriod) bool) bool {
	for _, period := range h.list {
		if except != nil && except(period) {
			continue
		}
		if period.from.Before(to) && (period.to.IsZero() || period.to.After(from.Add(-undisturbedBefore))) {
			return false
		}
	}
	return true
}
