package placement

// WaitExplanation explains why a demand waits, by the number of its tasks that would fit now and on empty workers.
type WaitExplanation struct {
	WaitingTasks    int // Number of waiting tasks.
	SuitableWorkers int // Workers that may run its tasks, whether they have free capacity or not.
	ClosedWorkers   int // Workers in halls where no work may start now.
	FitNow          int // Tasks that fit now, on all workers together.
	FitFastEnough   int // Tasks that fit now on workers that are fast enough for the goal.
	FitInRack       int // Tasks that fit now in the best rack.
	FitInEmptyRack  int // Tasks that would fit in the best rack if it were empty.
}

// Explain returns why demand i of a view waits.
func Explain(v *View, i int) WaitExplanation {
	pl := newPlanner(v)
	d := &v.Demands[i]
	pl.setCurrentDemand(d)
	pl.rankSpeeds(d, 1)
	pl.returnReservation(i)
	w := WaitExplanation{WaitingTasks: len(d.Waiting), ClosedWorkers: len(v.Workers) - pl.openCount}
	for _, rack := range pl.workersByRack {
		now, empty := 0, 0
		for _, k := range rack {
			if !pl.isSuitable(k) {
				continue
			}
			w.SuitableWorkers++
			fitting := pl.fittingTasks(d, k, pl.free[k])
			now += fitting
			if !pl.isTooSlow(k) {
				w.FitFastEnough += fitting
			}
			empty += pl.fittingTasks(d, k, v.Workers[k].Capacity)
		}
		w.FitNow += now
		w.FitInRack, w.FitInEmptyRack = max(w.FitInRack, now), max(w.FitInEmptyRack, empty)
	}
	return w
}
