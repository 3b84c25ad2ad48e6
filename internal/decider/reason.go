package decider

import "fmt"

// Code names the binding reason of a decision or a wait.
type Code string

// The codes of reasons.
const (
	Guaranteed    Code = "guaranteed"     // Starts on devices pledged to its workspace.
	Fits          Code = "fits"           // Starts where it packs best.
	Backfilled    Code = "backfilled"     // Starts on a rack set aside for another, and leaves it for that one.
	ReclaimedFor  Code = "reclaimed_for"  // Stops because a guarantee is claimed back.
	VacatedFor    Code = "vacated_for"    // Stops because a large gang has waited long enough.
	AwaitsReclaim Code = "awaits_reclaim" // Waits until borrowers have left its workspace's pledge.
	AwaitsRack    Code = "awaits_rack"    // Waits until the rack set aside for it is free.
	NoRoom        Code = "no_room"        // No rack has room now.
	OverLimit     Code = "over_limit"     // The workspace is at its limit.
	NotLendable   Code = "not_lendable"   // There is room, but only on devices that may be reclaimed.
	KeptForOthers Code = "kept_for"       // There is room, but it is kept for another job or claim.
	NeverFits     Code = "never_fits"     // No rack could hold it when empty.
	FailsAlways   Code = "fails_always"   // It failed on several healthy workers.
	LosesWorkers  Code = "loses_workers"  // Workers were lost again and again while it ran there.
)

// Reason says why, in a form that `why` shows.
type Reason struct {
	Code   Code
	Rack   string // The rack concerned, where there is one.
	Who    string // The job or workspace concerned, where there is one.
	Detail string
}

// String returns the reason as a short sentence.
func (r *Reason) String() string {
	text := map[Code]string{
		Guaranteed:    "starts on devices pledged to its workspace",
		Fits:          "starts where it packs best",
		Backfilled:    "starts on a rack set aside for another and leaves it when that one has room",
		ReclaimedFor:  "stops because a guarantee is claimed back",
		VacatedFor:    "stops because a large gang has waited long enough",
		AwaitsReclaim: "waits until borrowers have left its workspace's pledge",
		AwaitsRack:    "waits until the rack set aside for it is free",
		NoRoom:        "waits because no rack has room",
		OverLimit:     "waits because its workspace is at its limit",
		NotLendable:   "waits because the room there is could be reclaimed, and the job may neither be cut nor repeated",
		KeptForOthers: "waits because the room there is is kept for another",
		NeverFits:     "can never run because no rack could hold it",
		FailsAlways:   "is given up because it failed on several healthy workers",
		LosesWorkers:  "is given up because workers were lost again and again while it ran there",
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
