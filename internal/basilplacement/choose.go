package basilplacement

// bestFew is how many of the best workers one is drawn from, so that entry hosts seldom meet.
const bestFew = 4

// rackWeight is the free share of a worker that another busy worker on its rack outweighs.
const rackWeight = 0.02

// Worker is a candidate as the decision sees it.
type Worker struct {
	Capacity Size
	Free     Size // of the capacity, after own placements
	Remote   bool // in another data centre
	Reserved bool // kept for urgent tasks
	Ejected  bool
	Suspect  bool // several jobs failed on it
	Refused  Size // it refused a task of that size of late; zero for none
	OnRack   int  // workers on its rack that have own tasks
}

// knows tells whether the worker's capacity is known.
func (w *Worker) knows() bool { return w.Capacity.Cores > 0 }

// takes tells whether the worker may be given the task now.
func (w *Worker) takes(s Size, urgent bool) bool {
	if w.Ejected || w.Reserved && !urgent {
		return false
	}
	if w.Refused.Cores > 0 && s.holds(w.Refused) {
		return false
	}
	return !w.knows() || w.Free.holds(s)
}

// before tells whether the worker is better than the other.
//
// Workers that don't fail, own data centre, workers that are kept for urgent tasks (for these) and known
// capacity come first; then those with more room, since others' tasks on them are
// not known, on racks with fewer busy workers.
func (w *Worker) before(o *Worker, urgent bool) bool {
	if a, b := w.class(urgent), o.class(urgent); a != b {
		return a < b
	}
	return w.room() > o.room()
}

// room is the free share of the worker, less something for each busy worker on its rack.
func (w *Worker) room() float64 {
	return w.Free.Cores/max(w.Capacity.Cores, 1) - rackWeight*float64(w.OnRack)
}

func (w *Worker) class(urgent bool) int {
	var c int
	if !w.knows() {
		c++
	}
	if urgent && !w.Reserved {
		c += 2
	}
	if w.Remote {
		c += 4
	}
	if w.Suspect {
		c += 8
	}
	return c
}

// Choose returns the index of the worker for a task of the size, or -1 when none can take it now.
//
// The random source returns a number below its argument.
func Choose(workers []Worker, s Size, urgent bool, random func(n int) int) int {
	best := make([]int, 0, bestFew+1)
	for n := range workers {
		w := &workers[n]
		if !w.takes(s, urgent) || len(best) == bestFew && !w.before(&workers[best[bestFew-1]], urgent) {
			continue
		}
		at := len(best)
		for at > 0 && w.before(&workers[best[at-1]], urgent) {
			at--
		}
		best = append(best, 0)
		copy(best[at+1:], best[at:])
		best[at] = n
		best = best[:min(len(best), bestFew)]
	}
	if len(best) == 0 {
		return -1
	}
	same := 1
	for same < len(best) && workers[best[same]].class(urgent) == workers[best[0]].class(urgent) {
		same++
	}
	return best[random(same)]
}
