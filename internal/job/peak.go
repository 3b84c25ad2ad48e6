package job

// PeakAccelerators returns the largest number of accelerators that an occurrence of the job can use at one time. Steps
// that wait for each other never run at the same time.
func (r *Request) PeakAccelerators() int64 {
	need := make([]int64, len(r.Steps))
	for i := range r.Steps {
		need[i] = int64(r.Steps[i].Count) * r.Steps[i].Each.Accelerators
	}
	return heaviestTogether(need, r.Steps)
}

// PeakAccelerators returns the largest number of accelerators that the unfinished tasks of an occurrence can use at one
// time. It falls as steps end.
func (l *Tracker) PeakAccelerators(occurrence int) int64 {
	steps := l.Request.Steps
	if len(steps) == 1 {
		return l.accelerators(occurrence, 0)
	}
	need := make([]int64, len(steps))
	for s := range steps {
		need[s] = l.accelerators(occurrence, s)
	}
	return heaviestTogether(need, steps)
}

// accelerators returns the number of accelerators of the unfinished tasks of a group.
func (l *Tracker) accelerators(occurrence, step int) int64 {
	return int64(l.unfinished[occurrence*len(l.Request.Steps)+step]) * l.Request.Steps[step].Each.Accelerators
}

// IsDue reports whether an occurrence may start at nowMS (Unix time in milliseconds).
func (r *Request) IsDue(occurrence int, nowMS int64) bool {
	return r.Schedule.Times == 0 || r.Due(occurrence) <= nowMS
}

// OccurrenceDone reports whether all tasks of an occurrence are finished.
func (l *Tracker) OccurrenceDone(k int) bool {
	steps := len(l.Request.Steps)
	for _, n := range l.unfinished[k*steps : (k+1)*steps] {
		if n > 0 {
			return false
		}
	}
	return true
}

// heaviestTogether returns the largest sum of need over steps of which none waits for another one. By Dilworth's theorem
// it is the sum of all needs less the largest flow from steps to the steps that wait for them, where the flow out of a
// step and the flow into it are limited by its need.
func heaviestTogether(need []int64, steps []Step) int64 {
	f := stepFlow{out: append([]int64(nil), need...), in: append([]int64(nil), need...), before: make([]uint64, len(steps))}
	sum := int64(0)
	for i := range steps {
		sum += need[i]
		for _, a := range steps[i].After {
			f.before[i] |= f.before[a] | 1<<a
		}
	}
	for added := f.augment(); added > 0; added = f.augment() {
		sum -= added
	}
	return sum
}

// stepFlow is a flow from steps to the steps that wait for them, directly or not.
type stepFlow struct {
	out, in []int64  // What may still flow out of each step, and into it.
	before  []uint64 // By step: a bit for each step that it waits for.
	flow    map[[2]int]int64
}

// Marks of steps in a search for a path; other values are the number of the step before it on the path, plus 1.
const (
	unreached = 0
	pathBegin = -1
)

// augment adds to the flow along one shortest path and returns how much it has added; 0 if the flow is the largest one.
func (f *stepFlow) augment() int64 {
	n := len(f.out)
	asSource, asTarget := make([]int, n), make([]int, n) // By step: how it was reached.
	var sources []int
	for u := range n {
		if f.out[u] > 0 {
			sources, asSource[u] = append(sources, u), pathBegin
		}
	}
	for len(sources) > 0 {
		u := sources[0]
		sources = sources[1:]
		for v := range n {
			if asTarget[v] != unreached || f.before[v]&(1<<u) == 0 {
				continue
			}
			asTarget[v] = u + 1
			if f.in[v] > 0 {
				return f.addAlong(v, asSource, asTarget)
			}
			for w := range n { // What flows from w to v may flow elsewhere instead.
				if asSource[w] == unreached && f.flow[[2]int{w, v}] > 0 {
					sources, asSource[w] = append(sources, w), v+1
				}
			}
		}
	}
	return 0
}

// addAlong adds as much as possible to the flow along the path that ends at a step, and returns how much.
func (f *stepFlow) addAlong(end int, asSource, asTarget []int) int64 {
	added := f.in[end]
	begin := asTarget[end] - 1
	for asSource[begin] != pathBegin {
		v := asSource[begin] - 1
		added = min(added, f.flow[[2]int{begin, v}])
		begin = asTarget[v] - 1
	}
	added = min(added, f.out[begin])
	f.out[begin] -= added
	f.in[end] -= added
	if f.flow == nil {
		f.flow = map[[2]int]int64{}
	}
	for v := end; ; {
		u := asTarget[v] - 1
		f.flow[[2]int{u, v}] += added
		if asSource[u] == pathBegin {
			return added
		}
		v = asSource[u] - 1
		f.flow[[2]int{u, v}] -= added
	}
}
