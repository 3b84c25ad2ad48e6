package placement

// Wait says why a demand waits: how much room there is for its tasks, of Need that it waits for.
type Wait struct {
	Need     int
	Suitable int // Workers that may run its tasks, room aside.
	Closed   int // Workers in halls where nothing may start now.
	Now      int // Tasks that fit now, over all workers.
	Rack     int // Tasks that fit now into the best rack.
	Empty    int // Tasks that would fit into the best rack if it were empty.
}

// Explain tells why a demand of a view waits.
func Explain(v *View, i int) Wait {
	b := newBoard(v)
	d := &v.Demands[i]
	b.consider(d)
	b.unclaim(i)
	w := Wait{Need: len(d.Waiting), Closed: len(v.Workers) - b.open}
	for _, rack := range b.racks {
		now, empty := 0, 0
		for _, k := range rack {
			if !b.suits(k) {
				continue
			}
			w.Suitable++
			now += b.copies(d, k, b.free[k])
			empty += b.copies(d, k, v.Workers[k].Capacity)
		}
		w.Now += now
		w.Rack, w.Empty = max(w.Rack, now), max(w.Empty, empty)
	}
	return w
}
