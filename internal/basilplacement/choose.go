package basilplacement

// maxChoices is the number of best workers from which one is drawn at random, so that
// entry hosts seldom choose the same worker at the same time.
const maxChoices = 4

// rackWeight is the penalty for each busy worker on the same rack, as a free share of the worker's cores.
const rackWeight = 0.02

// Worker is a candidate for a task, with all that Choose considers.
type Worker struct {
	Capacity   Size // zero if unknown
	Free       Size // capacity left by the tasks that this entry host placed or observed
	Remote     bool // in another data centre
	Reserved   bool // for urgent tasks
	Ejected    bool
	Suspect    bool // several jobs failed on it recently
	Refused    Size // size of a task that it refused recently; zero if none
	BusyOnRack int  // workers on its rack with known tasks
}

// capacityKnown reports whether the worker's capacity is known.
func (w *Worker) capacityKnown() bool { return w.Capacity.Cores > 0 }

// accepts reports whether a task of the size may be sent to the worker now.
func (w *Worker) accepts(s Size, urgent bool) bool {
	if w.Ejected || w.Reserved && !urgent {
		return false
	}
	if w.Refused.Cores > 0 && s.covers(w.Refused) {
		return false
	}
	return !w.capacityKnown() || w.Free.covers(s)
}

// betterThan reports whether the worker is preferred to the other.
//
// In order of weight, workers are preferred that don't fail, are in the own data
// centre, are reserved for urgent tasks (for such a task), and have a known
// capacity. Among equals it prefers more room and racks with fewer busy workers:
// the tasks that other entry hosts placed are unknown, so more room means a lower
// risk of a refusal.
func (w *Worker) betterThan(o *Worker, urgent bool) bool {
	if a, b := w.penalty(urgent), o.penalty(urgent); a != b {
		return a < b
	}
	return w.room() > o.room()
}

// room returns the free share of the worker's cores, less rackWeight for each busy worker on its rack.
func (w *Worker) room() float64 {
	return w.Free.Cores/max(w.Capacity.Cores, 1) - rackWeight*float64(w.BusyOnRack)
}

func (w *Worker) penalty(urgent bool) int {
	var c int
	if !w.capacityKnown() {
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

// Choose returns the index of the worker for a task of the size, or -1 if no worker
// can take it now.
//
// random returns a number from 0 up to, but not including, n.
func Choose(workers []Worker, s Size, urgent bool, random func(n int) int) int {
	best := make([]int, 0, maxChoices+1)
	for n := range workers {
		w := &workers[n]
		if !w.accepts(s, urgent) || len(best) == maxChoices && !w.betterThan(&workers[best[maxChoices-1]], urgent) {
			continue
		}
		pos := len(best)
		for pos > 0 && w.betterThan(&workers[best[pos-1]], urgent) {
			pos--
		}
		best = append(best, 0)
		copy(best[pos+1:], best[pos:])
		best[pos] = n
		best = best[:min(len(best), maxChoices)]
	}
	if len(best) == 0 {
		return -1
	}
	tied := 1
	for tied < len(best) && workers[best[tied]].penalty(urgent) == workers[best[0]].penalty(urgent) {
		tied++
	}
	return best[random(tied)]
}
