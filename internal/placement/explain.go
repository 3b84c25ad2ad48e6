package placement

// Wait says why a demand waits, by how many tasks would fit where.
type Wait struct {
	Need     int // Number of waiting tasks.
	Suitable int // Workers that may run its tasks, whether they have free capacity or not.
	Closed   int // Workers in halls where no work may start now.
	Now      int // Tasks that fit now, on all workers together.
	Rack     int // Tasks that fit now in the best rack.
	Empty    int // Tasks that would fit in the best rack if it were empty.
}

// Explain returns why demand i of a view waits.
func Explain(v *View, i int) Wait {
	pl := newPlanner(v)
	d := &v.Demands[i]
	pl.consider(d)
	pl.returnReservation(i)
	w := Wait{Need: len(d.Waiting), Closed: len(v.Workers) - pl.openCount}
	for _, rack := range pl.racks {
		now, empty := 0, 0
		for _, k := range rack {
			if !pl.isSuitable(k) {
				continue
			}
			w.Suitable++
			now += pl.fittingTasks(d, k, pl.free[k])
			empty += pl.fittingTasks(d, k, v.Workers[k].Capacity)
		}
		w.Now += now
		w.Rack, w.Empty = max(w.Rack, now), max(w.Empty, empty)
	}
	return w
}
