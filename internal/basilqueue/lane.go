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
	turn    time.Time     // of the last grant, or when jobs began to wait
	gap     meanRun       // between grants while jobs wait
	index   int           // in the lane's heap
}

// lane holds the waiting jobs of one class; teams take turns by the slot time that they were granted.
type lane struct {
	flows  flowHeap // those with a waiting job, least served first
	byTeam map[string]*flow
	clock  time.Duration // virtual time of the flow that was served last
	size   int
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
		f = &flow{team: w.ticket.Team, served: l.clock, turn: w.arrived}
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
func (l *lane) charge(w *waiter, now time.Time) {
	f := w.flow
	f.gap.observe(now.Sub(f.turn), gapDecay)
	f.turn = now
	l.clock = f.served
	f.served += max(w.cost, minCost)
	heap.Fix(&l.flows, f.index)
}

// ahead estimates how many jobs are served before w, which need not be in the lane.
func (l *lane) ahead(w *waiter) int {
	own := l.byTeam[w.ticket.Team]
	rank := l.rank(w)
	n := rank
	for _, f := range l.flows {
		if f != own {
			n += min(f.waiting.len(), rank+1)
		}
	}
	return n
}

// rank returns how many jobs of its own team go before w, which need not be in the lane.
func (l *lane) rank(w *waiter) int {
	if f := l.byTeam[w.ticket.Team]; f != nil {
		return f.waiting.rank(w)
	}
	return 0
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

// wait predicts how long a job waits behind so many of its own team, by the pace at which that team got its turns.
func (f *flow) wait(ahead int) time.Duration {
	if f.gap.samples < forecastSamples {
		return 0
	}
	return time.Duration(f.gap.value) * time.Duration(ahead+1)
}

func (l *lane) ownWait(team string, ahead int) time.Duration {
	if f := l.byTeam[team]; f != nil {
		return f.wait(ahead)
	}
	return 0
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
