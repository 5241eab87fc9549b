package basilexperiment

import (
	"cmp"
	"container/heap"
	"time"

	"basilstage.example/basilstage/internal/basilscheduler"
)

// event is something that happens at a time; those of one time happen in the order in which they were set up.
type event struct {
	at     time.Duration
	number int
	do     func()
}

// events is a heap of what is to happen.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(e[a].at, e[b].at), cmp.Compare(e[a].number, e[b].number)) < 0
}

func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }

// Push adds an event, for the heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event, for the heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clock is event time.
type clock struct {
	now    time.Duration
	queue  events
	number int
}

// after has something happen in a while.
func (c *clock) after(d time.Duration, do func()) {
	c.number++
	heap.Push(&c.queue, event{at: c.now + max(d, 0), number: c.number, do: do})
}

// every has something happen now and again after each period.
func (c *clock) every(d time.Duration, do func()) {
	c.after(0, func() {
		do()
		c.after(d, func() { c.every(d, do) })
	})
}

// run lets everything happen that is to happen before the end.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at < end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}

// time returns the present time as the decisions take it.
func (c *clock) time() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

func compareRefs(a, b basilscheduler.Ref) int {
	return cmp.Or(cmp.Compare(a.Task.String(), b.Task.String()), cmp.Compare(a.Attempt, b.Attempt))
}
