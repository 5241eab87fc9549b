package basilqueue

import (
	"container/heap"
	"time"
)

// flow holds the waiting jobs of one team in one lane.
type flow struct {
	team    string
	waiting orderTree[*waiter]
	served  time.Duration // virtual time: slot time granted, on the lane's clock
	index   int           // in the lane's heap
}

// lane holds the waiting jobs of one class; teams take turns by the slot time that they were granted.
type lane struct {
	flows  flowHeap // those with a waiting job, least served first
	byTeam map[string]*flow
	clock  time.Duration // virtual time of the flow that was served last
	size   int
	margin float64 // added to forecasts, as a part of them
}

// peek returns the next job, or nil.
func (l *lane) peek() *waiter {
	if l.size == 0 {
		return nil
	}
	return l.flows[0].waiting.first()
}

func (l *lane) push(w *waiter) {
	f := l.byTeam[w.ticket.Team]
	if f == nil {
		f = &flow{team: w.ticket.Team, served: l.clock}
		f.waiting.before = (*waiter).before
		if l.byTeam == nil {
			l.byTeam = make(map[string]*flow)
		}
		l.byTeam[f.team] = f
		heap.Push(&l.flows, f)
	}
	w.flow = f
	f.waiting.insert(w)
	l.size++
}

// remove takes a job out; a team without waiting jobs keeps no credit or debt.
func (l *lane) remove(w *waiter) {
	f := w.flow
	f.waiting.remove(w)
	l.size--
	if f.waiting.len() > 0 {
		return
	}
	heap.Remove(&l.flows, f.index)
	delete(l.byTeam, f.team)
}

// charge notes that the job is served; the caller removes it.
func (l *lane) charge(w *waiter) {
	f := w.flow
	l.clock = f.served
	l.margin = max(0, l.margin-marginDown)
	f.served += max(w.cost, minCost)
	heap.Fix(&l.flows, f.index)
}

// misjudged notes that a job was refused after it was let in.
func (l *lane) misjudged(w *waiter, now time.Time) {
	if now.Sub(w.arrived) >= w.latest.Sub(w.arrived)/2 {
		l.margin = min(l.margin+marginUp, maxMargin)
	}
}

// ahead estimates how many jobs are served before w, which need not be in the lane.
func (l *lane) ahead(w *waiter) int {
	own := l.byTeam[w.ticket.Team]
	rank := 0
	if own != nil {
		rank = own.waiting.rank(w)
	}
	n := rank
	for _, f := range l.flows {
		if f != own {
			n += min(f.waiting.len(), rank+1)
		}
	}
	return n
}

// turns returns how many jobs are served before each team has had so many of its own, by that number.
func (l *lane) turns() []int {
	longest := 0
	for _, f := range l.flows {
		longest = max(longest, f.waiting.len())
	}
	ending := make([]int, longest+1) // teams by the number of their jobs
	for _, f := range l.flows {
		ending[f.waiting.len()]++
	}
	turns := make([]int, longest+1)
	left := len(l.flows)
	for i := 1; i <= longest; i++ {
		turns[i] = turns[i-1] + left
		left -= ending[i]
	}
	return turns
}

// crowding returns the last job of the team that waits with the most, if that is more than the team of w would.
func (l *lane) crowding(w *waiter) *waiter {
	own := 0
	if f := l.byTeam[w.ticket.Team]; f != nil {
		own = f.waiting.len()
	}
	f := l.largest()
	if f == nil || f.waiting.len() <= own+1 {
		return nil
	}
	return f.waiting.last()
}

// largest returns the flow with the most waiting jobs, or nil.
func (l *lane) largest() *flow {
	var largest *flow
	for _, f := range l.flows {
		if largest == nil || f.waiting.len() > largest.waiting.len() {
			largest = f
		}
	}
	return largest
}

// flowHeap is a heap of flows, least served first.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool { return h[i].served < h[j].served }

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return f
}
