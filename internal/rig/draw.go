package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// One in unevenIn seeds has workers of uneven speed, and one in overloadIn has a burst above the capacity.
	unevenIn, overloadIn = 3, 4
	// meanRunTime is the mean run time of the tasks that drawJob generates.
	meanRunTime = 3650 * time.Millisecond
	// Each largeEvery-th seed has as many processes as a machine of 12 cores can run beside other work.
	largeEvery = 10
	// Each plannedEvery-th seed has only planned faults.
	plannedEvery = 3
)

// settleWithin is the time after the last job is submitted in which everything must end: two leases of 10 s, an outage
// of the store in between, and 14 s in which jobs end once no fault is active (from the users' pages).
const settleWithin = 45 * time.Second

// overloadSettleWithin is the additional time in which the jobs of a burst must end: at most 7 s of 1.6 times the
// capacity, with some of it unused because a job's tasks fill a worker only in part.
const overloadSettleWithin = 15 * time.Second

// storeParts are the parts of the store that can fail one by one. The repeated entries make the main part more likely.
var storeParts = []string{"main", "main", "main", "main/0", "main/1", "main/2", "main/3", "main/4", "main/5", "main/6", "main/7"}

// scenarioDraft is a scenario that is being generated.
type scenarioDraft struct {
	*rand.Rand
	boxes, workers, slots int
	planned               bool
	restartVerb           string // Verb that restarts ended workers: "return" under a new name, "again" under their own.
	// Indexes of the kinds of faults in this scenario. A seed has few of them, so that each occurs often and they
	// overlap.
	faultKinds    []int
	modes         []string      // Proxy modes in this scenario, also few.
	storeFailures []string      // Failures of the store in this scenario.
	faultsUntil   time.Duration // Time until which faults occur.
	steps         []draftStep
	healingSteps  map[string]string // By target that had a fault: the verb that ends it.
}

// draftStep is a step with its text in the scenario.
type draftStep struct {
	at   time.Duration
	text string
}

// Draw generates the scenario of a seed: jobs over the given length of time, and faults in its first three quarters,
// which come in series and overlap.
func Draw(seed uint64, length time.Duration) string {
	d := &scenarioDraft{Rand: rand.New(rand.NewPCG(seed, 0)), faultsUntil: length * 3 / 4, healingSteps: map[string]string{}}
	d.boxes, d.workers, d.slots = 2+d.IntN(3), 4+d.IntN(6), 3+d.IntN(3)
	d.planned = seed%plannedEvery == 0
	d.restartVerb = []string{"return", "again"}[seed%2]
	d.faultKinds = d.Perm(len(d.faultsOf("", "")))[:3+d.IntN(6)]
	d.modes = d.someOf(2, modeClose, modeReset, modeSilent, modeOneWay, modeKeep, modeStale, modeSlow, modeRefuse)
	d.storeFailures = d.someOf(2, "slow", "lose", "busy", "silent", "part_out", "forget")
	gap := 1200 * time.Millisecond
	if seed%largeEvery == 0 {
		d.boxes, d.workers, gap = 6, 50, 400*time.Millisecond
	}
	// A stream of its own keeps the scenarios of the seeds without these conditions as they were before.
	load := &scenarioDraft{Rand: rand.New(rand.NewPCG(seed, 1)), workers: d.workers, slots: d.slots}
	uneven, overload, settle := load.IntN(unevenIn) == 0, load.IntN(overloadIn) == 0 && seed%largeEvery != 0, settleWithin
	if overload {
		settle += overloadSettleWithin
	}
	text := fmt.Sprintf("# Drawn from seed %d, for %s.\nboxes %d\nworkers %d\nslots %d\nalone %d\nheartbeat %s\nlease %s\ndrift %s\nmay_fail 1\nuntil %s\n",
		seed, length, d.boxes, d.workers, d.slots, d.IntN(2), d.oneOf("300ms", "500ms", "1500ms"), d.oneOf("4s", "6s", "10s"), d.oneOf("0", "0.02"), length+settle)
	if uneven {
		text += "uneven 1\n"
	}
	for at := d.upTo(gap); at < length; at += d.upTo(2 * gap) {
		d.add(at, d.drawJob())
	}
	d.drawFaults()
	if overload {
		text += load.drawOverload(length)
		d.steps = append(d.steps, load.steps...)
	}
	slices.SortStableFunc(d.steps, func(a, b draftStep) int { return int(a.at - b.at) })
	for _, s := range d.steps {
		text += fmt.Sprintf("at %.3fs %s\n", s.at.Seconds(), s.text)
	}
	return text
}

func (d *scenarioDraft) oneOf(words ...string) string { return words[d.IntN(len(words))] }

// someOf returns n of the words at random.
func (d *scenarioDraft) someOf(n int, words ...string) []string {
	d.Shuffle(len(words), func(i, j int) { words[i], words[j] = words[j], words[i] })
	return words[:n]
}

func (d *scenarioDraft) upTo(t time.Duration) time.Duration { return time.Duration(d.Int64N(int64(t))) }

func (d *scenarioDraft) between(low, high time.Duration) time.Duration {
	return low + d.upTo(high-low)
}

func (d *scenarioDraft) add(at time.Duration, text string) {
	d.steps = append(d.steps, draftStep{at, text})
}

// drawJob generates a job.
func (d *scenarioDraft) drawJob() string {
	text := fmt.Sprintf("client submit %d %s", 1+d.IntN(2*d.slots), d.between(300*time.Millisecond, 7*time.Second).Round(100*time.Millisecond))
	for _, option := range []string{"gang", "ordered", "once", d.between(500*time.Millisecond, 6*time.Second).Round(100 * time.Millisecond).String()} {
		if d.IntN(5) == 0 {
			text += " " + option
		}
	}
	return text
}

// drawOverload adds a burst of 3 to 7 s in the first half of the scenario. Its jobs alone need 1 to 1.6 times the
// capacity of all workers. It returns a comment for the scenario.
func (d *scenarioDraft) drawOverload(length time.Duration) string {
	from := d.upTo(length / 2)
	to := min(from+d.between(3*time.Second, 7*time.Second), length)
	// A job has 1 to 2*slots tasks, so that one job every fullGap uses the whole capacity.
	fullGap := meanRunTime * time.Duration(2*d.slots+1) / time.Duration(2*d.slots*d.workers)
	gap := time.Duration(float64(fullGap) / (1 + 0.6*d.Float64()))
	for at := from + d.upTo(gap); at < to; at += d.upTo(2 * gap) {
		d.add(at, d.drawJob())
	}
	return fmt.Sprintf("# Overload: %d more jobs from %.3fs to %.3fs.\n", len(d.steps), from.Seconds(), to.Seconds())
}

// drawFaults generates all faults, and heals those that are still active at the end.
func (d *scenarioDraft) drawFaults() {
	maxGap := 1800 * time.Millisecond
	if d.planned {
		maxGap = 5 * time.Second
	}
	for at := d.upTo(maxGap); at < d.faultsUntil; at += d.between(maxGap/10, maxGap) {
		times, fault := 1, d.drawFault()
		if d.IntN(3) == 0 {
			times += d.IntN(3) // A series of the same fault.
		}
		for range times {
			at += d.addFault(at, fault)
		}
	}
	targets := make([]string, 0, len(d.healingSteps))
	for target := range d.healingSteps {
		targets = append(targets, target)
	}
	slices.Sort(targets)
	for _, target := range targets {
		d.add(d.faultsUntil+8*time.Second, target+" "+d.healingSteps[target])
	}
}

// fault is a kind of fault with its target and the function that adds its steps.
type fault struct {
	target   string
	addSteps func(d *scenarioDraft, at time.Duration, target string)
}

// drawFault chooses a fault and its target.
func (d *scenarioDraft) drawFault() fault {
	box, worker := fmt.Sprintf("box-%d", 1+d.IntN(d.boxes)), fmt.Sprintf("w%d", 1+d.IntN(d.workers))
	if d.planned {
		return []fault{{box, shutDownBox}, {box, shutDownBox}, {worker, drainWorker}, {"operator", configure}, {box, reloadBox}}[d.IntN(5)]
	}
	return d.faultsOf(box, worker)[d.faultKinds[d.IntN(len(d.faultKinds))]]
}

// faultsOf returns all kinds of faults, with the given box and worker as targets.
func (d *scenarioDraft) faultsOf(box, worker string) []fault {
	return []fault{
		{box, shutDownBox},
		{box, killBox},
		{box, pauseProcess},
		{box, reloadBox},
		{box + ".store", disturbConnections},
		{box + ".store", disturbConnections},
		{worker, drainWorker},
		{worker, crashWorker},
		{worker, pauseProcess},
		{worker, dropRecord},
		{worker, disturbWorker},
		{worker + ".proxy", disturbConnections},
		{worker + ".proxy", disturbConnections},
		{worker + ".proxy", disturbConnections},
		{"store", disturbStore},
		{"store", disturbStore},
		{"operator", configure},
	}
}

// addFault adds the steps of a fault once, and returns the delay until the next fault of a series.
func (d *scenarioDraft) addFault(at time.Duration, f fault) time.Duration {
	f.addSteps(d, at, f.target)
	return d.upTo(1500 * time.Millisecond)
}

// addHealedFault adds a fault that is healed after a time.
func (d *scenarioDraft) addHealedFault(at, length time.Duration, target, verb, healVerb string) {
	d.healingSteps[target] = healVerb
	d.add(at, target+" "+verb)
	d.add(at+length, target+" "+healVerb)
}

// faultLength chooses the length of a fault: mostly short, sometimes longer than a lease.
func (d *scenarioDraft) faultLength() time.Duration {
	if d.IntN(3) == 0 {
		return d.between(4*time.Second, 12*time.Second)
	}
	return d.between(200*time.Millisecond, 4*time.Second)
}

// shutDownBox shuts a box down as planned, and restarts it after the time limit of the shutdown.
func shutDownBox(d *scenarioDraft, at time.Duration, box string) {
	d.healingSteps[box] = "restart"
	if d.planned && d.IntN(2) == 0 {
		slowStore(d, max(at-time.Second, 0), "store")
	}
	d.add(at, box+" terminate")
	d.add(at+shutdownWithin, box+" kill")
	d.add(at+shutdownWithin+d.between(100*time.Millisecond, 2*time.Second), box+" restart")
}

func killBox(d *scenarioDraft, at time.Duration, box string) {
	d.addHealedFault(at, d.between(100*time.Millisecond, 4*time.Second), box, "kill", "restart")
}

func pauseProcess(d *scenarioDraft, at time.Duration, target string) {
	d.addHealedFault(at, d.faultLength(), target, "stop", "continue")
	if strings.HasPrefix(target, "box") {
		d.healingSteps[target] = "restart"
	}
}

func reloadBox(d *scenarioDraft, at time.Duration, box string) { d.add(at, box+" reload") }

func configure(d *scenarioDraft, at time.Duration, _ string) { d.add(at, "operator configure next") }

// disturbConnections sets a proxy to a mode that disturbs connections.
func disturbConnections(d *scenarioDraft, at time.Duration, proxy string) {
	switch mode := d.oneOf(d.modes...); {
	case mode == modeStale:
		d.add(at, proxy+" "+modeStale)
	case mode == modeSlow:
		d.addHealedFault(at, d.faultLength(), proxy, modeSlow+" "+d.between(50*time.Millisecond, 900*time.Millisecond).Round(time.Millisecond).String(), modePass)
	case mode == modeRefuse && strings.HasSuffix(proxy, ".proxy"):
		d.addHealedFault(at, d.faultLength(), proxy, modeReset, modePass)
	default:
		d.addHealedFault(at, d.faultLength(), proxy, mode, modePass)
	}
}

// drainWorker has a worker announce its departure, finish its runs and end. A new incarnation starts later.
func drainWorker(d *scenarioDraft, at time.Duration, worker string) {
	delay := d.between(2*time.Second, 8*time.Second).Round(time.Millisecond)
	d.healingSteps[worker] = d.restartVerb
	d.add(at, fmt.Sprintf("%s drain %s", worker, delay))
	if d.IntN(2) == 0 {
		d.add(at+delay, fmt.Sprintf("%s leave_after_end %s", worker, d.oneOf("0s", "3ms", "20ms")))
	}
	end := at + delay + d.between(100*time.Millisecond, 4*time.Second)
	d.add(end, worker+" leave")
	d.add(end+d.upTo(3*time.Second), worker+" "+d.restartVerb)
}

// crashWorker kills a worker. A new incarnation starts later.
func crashWorker(d *scenarioDraft, at time.Duration, worker string) {
	d.addHealedFault(at, d.between(100*time.Millisecond, 5*time.Second), worker, "kill", d.restartVerb)
}

// dropRecord stops a worker's record for a while. Sometimes the worker can't be reached during that time either.
func dropRecord(d *scenarioDraft, at time.Duration, worker string) {
	length := d.faultLength()
	d.addHealedFault(at, length, worker, d.oneOf("quiet", "unrecord"), "beat")
	switch d.IntN(4) {
	case 0:
		d.addHealedFault(at+d.upTo(time.Second), length, worker, "stop", "continue")
	case 1, 2:
		disturbConnections(d, at+d.upTo(time.Second), worker+".proxy")
	}
}

// disturbWorker has a worker leave polls unanswered, execute commands late or fail its runs.
func disturbWorker(d *scenarioDraft, at time.Duration, worker string) {
	switch d.IntN(3) {
	case 0:
		d.add(at, fmt.Sprintf("%s mute %d", worker, 1+d.IntN(12)))
	case 1:
		d.add(at, fmt.Sprintf("%s late %d", worker, 1+d.IntN(12)))
	default:
		d.add(at, worker+" fail on")
		d.add(at+d.faultLength(), worker+" fail off")
	}
}

// slowStore slows the store down so that calls are in flight when a box is told to end.
func slowStore(d *scenarioDraft, at time.Duration, store string) {
	d.addHealedFault(at, d.between(3*time.Second, 6*time.Second), store, "slow "+d.between(250*time.Millisecond, 450*time.Millisecond).Round(time.Millisecond).String(), "up")
}

// disturbStore adds a failure of the store.
func disturbStore(d *scenarioDraft, at time.Duration, target string) {
	failure := d.oneOf(d.storeFailures...)
	switch failure {
	case "forget":
		d.add(at, "store forget")
		return
	case "slow":
		failure += " " + d.between(20*time.Millisecond, 600*time.Millisecond).Round(time.Millisecond).String()
	case "lose":
		failure += " " + d.oneOf("0.2", "0.8")
	case "part_out":
		failure += " " + d.oneOf(storeParts...)
	}
	d.addHealedFault(at, d.faultLength(), target, failure, "up")
}
