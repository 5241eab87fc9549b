package basilplacement

// bestFew is how many of the best workers one is drawn from, so that entry hosts seldom meet.
const bestFew = 4

// Worker is a candidate as the decision sees it.
type Worker struct {
	Capacity Size
	Free     Size // of the capacity, after own placements
	Remote   bool // in another data centre
	Reserved bool // kept for urgent tasks
	Ejected  bool
	OnRack   int // workers on its rack that have own tasks
}

// knows tells whether the worker's capacity is known.
func (w *Worker) knows() bool { return w.Capacity.Cores > 0 }

// takes tells whether the worker may be given the task now.
func (w *Worker) takes(s Size, urgent bool) bool {
	if w.Ejected || w.Reserved && !urgent {
		return false
	}
	return !w.knows() || w.Free.holds(s)
}

// before tells whether the worker is better than the other.
//
// Own data centre, known capacity and unreserved workers come first; then racks
// with fewer busy workers; then workers that are left with less room, which keeps whole workers free.
func (w *Worker) before(o *Worker) bool {
	if a, b := w.class(), o.class(); a != b {
		return a < b
	}
	if w.OnRack != o.OnRack {
		return w.OnRack < o.OnRack
	}
	if !w.knows() {
		return w.Free.Cores > o.Free.Cores
	}
	return w.Free.Cores < o.Free.Cores
}

func (w *Worker) class() int {
	var c int
	if !w.knows() {
		c++
	}
	if w.Reserved {
		c += 2
	}
	if w.Remote {
		c += 4
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
		if !w.takes(s, urgent) || len(best) == bestFew && !w.before(&workers[best[bestFew-1]]) {
			continue
		}
		at := len(best)
		for at > 0 && w.before(&workers[best[at-1]]) {
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
	for same < len(best) && workers[best[same]].class() == workers[best[0]].class() {
		same++
	}
	return best[random(same)]
}
