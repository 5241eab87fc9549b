package basilcapacity

import (
	"math"
	"time"
)

const (
	fillHeadroom = 1.25 // hosts for each one that a slow owner keeps in use, so that most of the room stays in use
	fillGrowth   = 1.1  // growth of that factor per second without another report that the owner is too slow
)

// fillLimit is how much of its room a pool's owner keeps in use that starts too few tasks to fill it. Further hosts would stand idle there while
// other pools lack them. The zero value sets no limit.
type fillLimit struct {
	used    [resourceGPU + 1]int // by resource, as of the newest report of such an owner
	at      time.Time            // of that report
	limited bool
}

// observe takes in a report. A new owner of the pool may be faster.
func (l *fillLimit) observe(load Load, newOwner bool, now time.Time) {
	l.limited = l.limited && !newOwner
	if !load.Limited {
		return
	}
	for r, a := range load.amounts() {
		l.used[r] = a.Used
	}
	l.at, l.limited = now, true
}

// fillableHosts returns how many hosts the pool's owner is expected to fill.
func (f *Fleet) fillableHosts(pool string, now time.Time) int {
	l := &f.moves.demands[pool].fill
	if !l.limited {
		return math.MaxInt
	}
	filled, inUse := float64(minPoolHosts), 0.0
	for r, a := range f.reports[pool].Load.amounts() {
		if size := f.averageCapacity(pool, resource(r)); size > 0 {
			filled = max(filled, float64(l.used[r])/float64(size))
			inUse = max(inUse, float64(a.Used)/float64(size))
		}
	}
	limit := max(inUse, filled*fillHeadroom*math.Pow(fillGrowth, now.Sub(l.at).Seconds()))
	return int(math.Ceil(min(limit, float64(len(f.machines)))))
}
