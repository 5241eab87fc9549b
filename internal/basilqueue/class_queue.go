package basilqueue

import (
	"container/heap"
	"time"
)

// teamQueue holds the waiting jobs of one team in one classQueue, earliest deadline first.
type teamQueue struct {
	team        string
	waiting     orderTree[*waiter]
	virtualTime time.Duration // slot time granted to the team; starts at the classQueue's virtual time
	index       int           // in the classQueue's heap
}

// classQueue holds the waiting jobs of one class, with fair queueing: the team with the lowest virtual time is served next.
type classQueue struct {
	teams          teamHeap // of teams with waiting jobs, lowest virtual time first
	byTeam         map[string]*teamQueue
	virtualTime    time.Duration // of the team that was served last
	size           int
	forecastMargin float64 // safety margin of wait forecasts, as a fraction of the forecast
}

// peek returns the next job, or nil if the queue is empty.
func (q *classQueue) peek() *waiter {
	if q.size == 0 {
		return nil
	}
	return q.teams[0].waiting.first()
}

func (q *classQueue) push(w *waiter) {
	t := q.byTeam[w.ticket.Team]
	if t == nil {
		t = &teamQueue{team: w.ticket.Team, virtualTime: q.virtualTime}
		t.waiting.before = (*waiter).before
		if q.byTeam == nil {
			q.byTeam = make(map[string]*teamQueue)
		}
		q.byTeam[t.team] = t
		heap.Push(&q.teams, t)
	}
	w.teamQueue = t
	t.waiting.insert(w)
	q.size++
}

// remove removes a job; the virtual time of a team without waiting jobs is dropped.
func (q *classQueue) remove(w *waiter) {
	t := w.teamQueue
	t.waiting.remove(w)
	q.size--
	if t.waiting.len() > 0 {
		return
	}
	heap.Remove(&q.teams, t.index)
	delete(q.byTeam, t.team)
}

// charge adds the job's cost to its team's virtual time; the caller removes the job.
func (q *classQueue) charge(w *waiter) {
	t := w.teamQueue
	q.virtualTime = t.virtualTime
	q.forecastMargin = max(0, q.forecastMargin-marginDecrement)
	t.virtualTime += max(w.cost, minCost)
	heap.Fix(&q.teams, t.index)
}

// recordLateRejection raises the forecast margin if a queued job is rejected after at least half of the time it could wait.
func (q *classQueue) recordLateRejection(w *waiter, now time.Time) {
	if now.Sub(w.arrived) >= w.latest.Sub(w.arrived)/2 {
		q.forecastMargin = min(q.forecastMargin+marginIncrement, maxMargin)
	}
}

// ahead estimates how many jobs are served before w, which need not be in the queue.
func (q *classQueue) ahead(w *waiter) int {
	own := q.byTeam[w.ticket.Team]
	rank := 0
	if own != nil {
		rank = own.waiting.rank(w)
	}
	n := rank
	for _, t := range q.teams {
		if t != own {
			n += min(t.waiting.len(), rank+1)
		}
	}
	return n
}

// jobsPerRounds returns, indexed by the number of rounds, how many jobs are served when each team gets one job per round.
func (q *classQueue) jobsPerRounds() []int {
	longest := 0
	for _, t := range q.teams {
		longest = max(longest, t.waiting.len())
	}
	teamsBySize := make([]int, longest+1) // number of teams by their number of jobs
	for _, t := range q.teams {
		teamsBySize[t.waiting.len()]++
	}
	jobs := make([]int, longest+1)
	teams := len(q.teams)
	for i := 1; i <= longest; i++ {
		jobs[i] = jobs[i-1] + teams
		teams -= teamsBySize[i]
	}
	return jobs
}

// evictionCandidate returns the last job of the largest team, or nil if that team has no more jobs than the team of w would have with w.
func (q *classQueue) evictionCandidate(w *waiter) *waiter {
	own := 0
	if t := q.byTeam[w.ticket.Team]; t != nil {
		own = t.waiting.len()
	}
	largest := q.largestTeam()
	if largest == nil || largest.waiting.len() <= own+1 {
		return nil
	}
	return largest.waiting.last()
}

// largestTeam returns the team with the most waiting jobs, or nil if the queue is empty.
func (q *classQueue) largestTeam() *teamQueue {
	var largest *teamQueue
	for _, t := range q.teams {
		if largest == nil || t.waiting.len() > largest.waiting.len() {
			largest = t
		}
	}
	return largest
}

// teamHeap is a heap of team queues, lowest virtual time first.
type teamHeap []*teamQueue

// Len implements heap.Interface.
func (h teamHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamHeap) Less(i, j int) bool { return h[i].virtualTime < h[j].virtualTime }

// Swap implements heap.Interface.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamHeap) Push(x any) {
	t := x.(*teamQueue)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *teamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
