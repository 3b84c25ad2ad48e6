package decider

import "fmt"

// Code identifies the reason of a decision or a wait.
type Code string

// Codes of reasons.
const (
	Guaranteed        Code = "guaranteed"     // Starts on devices pledged to its workspace.
	Fits              Code = "fits"           // Starts on the rack with the fewest free accelerators that fits.
	Backfilled        Code = "backfilled"     // Starts on a rack reserved for another job, and can be preempted for it.
	ReclaimedFor      Code = "reclaimed_for"  // Preempted because a guarantee is reclaimed.
	VacatedFor        Code = "vacated_for"    // Preempted because a large gang has waited long enough.
	AwaitsReclaim     Code = "awaits_reclaim" // Waits until borrowers of its workspace's pledge have stopped.
	AwaitsRack        Code = "awaits_rack"    // Waits until the rack reserved for it is free.
	NoRoom            Code = "no_room"        // No rack has enough free capacity now.
	OverLimit         Code = "over_limit"     // The job would exceed the limit of its workspace.
	OnlyReclaimable   Code = "not_lendable"   // Free capacity can be reclaimed, and the job must not be stopped.
	ReservedForOthers Code = "kept_for"       // Free capacity is reserved for another job.
	NeverFits         Code = "never_fits"     // No rack fits it even when empty.
	FailsAlways       Code = "fails_always"   // It failed on several healthy workers.
	LosesWorkers      Code = "loses_workers"  // Too many workers were lost while it ran there.
)

// Reason explains a decision or a wait; the command `pulleyring why` shows it.
type Reason struct {
	Code   Code
	Rack   string // The rack concerned, if any.
	Who    string // The job or workspace concerned, if any.
	Detail string
}

// String returns the reason as a short sentence.
func (r *Reason) String() string {
	text := map[Code]string{
		Guaranteed:        "starts on devices pledged to its workspace",
		Fits:              "starts where it packs best",
		Backfilled:        "starts on a rack set aside for another and leaves it when that one has room",
		ReclaimedFor:      "stops because a guarantee is claimed back",
		VacatedFor:        "stops because a large gang has waited long enough",
		AwaitsReclaim:     "waits until borrowers have left its workspace's pledge",
		AwaitsRack:        "waits until the rack set aside for it is free",
		NoRoom:            "waits because no rack has room",
		OverLimit:         "waits because its workspace is at its limit",
		OnlyReclaimable:   "waits because the room there is could be reclaimed, and the job may neither be cut nor repeated",
		ReservedForOthers: "waits because the room there is is kept for another",
		NeverFits:         "can never run because no rack could hold it",
		FailsAlways:       "is given up because it failed on several healthy workers",
		LosesWorkers:      "is given up because workers were lost again and again while it ran there",
	}[r.Code]
	if r.Rack != "" {
		text += fmt.Sprintf("; rack %s", r.Rack)
	}
	if r.Who != "" {
		text += fmt.Sprintf("; for or behind %s", r.Who)
	}
	if r.Detail != "" {
		text += "; " + r.Detail
	}
	return text
}
