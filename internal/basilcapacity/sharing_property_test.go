package basilcapacity

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	propertyLength = 25 * time.Second
	propertyLost   = 24 // most hosts that are lost at once
)

// TestPropertyLongRunningTasksGetHostsWhileFleetHasThem checks that under any demands, losses and moves no pool lacks hosts for its long-running
// tasks for longer than a move and its list of servers, while the fleet has hosts for the long-running tasks of all pools.
func TestPropertyLongRunningTasksGetHostsWhileFleetHasThem(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(minPoolHosts, 60), 2, 5).Draw(r, "hosts")
		standby := rapid.IntRange(0, 20).Draw(r, "standby")
		var pools []*playedPool
		left, needed := standby, 0
		lasts, short := make([]int, len(sizes)), make([]int, len(sizes))
		for n, hosts := range sizes {
			left += hosts
			lasts[n] = rapid.IntRange(0, hosts/2).Draw(r, "long-running")
			needed += max(minPoolHosts, lasts[n])
			pools = append(pools, &playedPool{
				name:    string(rune('a' + n)),
				lasting: func(time.Duration) int { return lasts[n] },
				short:   func(time.Duration) int { return short[n] },
			})
		}
		p := newFleetPlay(t, standby, sizes, pools...)
		for p.now.Sub(p.began) < propertyLength {
			for n := range short {
				short[n] = rapid.OneOf(rapid.Just(0), rapid.IntRange(0, 40), rapid.IntRange(0, 2000)).Draw(r, "short")
			}
			lost := min(rapid.IntRange(0, propertyLost).Draw(r, "lost"), left-needed)
			p.lose(pools[rapid.IntRange(0, len(pools)-1).Draw(r, "loser")].name, lost)
			left = p.countUp()
			p.play(time.Duration(rapid.IntRange(1, 12).Draw(r, "length")) * time.Second)
		}
		for _, o := range pools {
			if o.longest > playLongestLack {
				r.Fatalf("pool %s lacked hosts for its long-running tasks for %v", o.name, o.longest)
			}
		}
		if p.flight > p.maxConcurrentMoves() {
			r.Fatalf("%d hosts moved or were evacuated at once", p.flight)
		}
	})
}

// countUp returns how many hosts are left.
func (p *fleetPlay) countUp() int {
	var count int
	for _, m := range p.list {
		if m.Pool != "lost" {
			count++
		}
	}
	return count
}
