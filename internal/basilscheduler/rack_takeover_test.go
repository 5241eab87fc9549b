package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestPropertyInnocentTasksOutlastCrashesOfRacksAfterTakeovers checks that no job is given up after three crashes of whole racks, each right
// after a takeover, however many are counted.
func TestPropertyInnocentTasksOutlastCrashesOfRacksAfterTakeovers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		racks := rapid.IntRange(2, 3).Draw(r, "racks")
		p := newRackPlay(r, 3*racks, 2500*time.Millisecond, 6*time.Second)
		for n := range rapid.IntRange(1, 8).Draw(r, "jobs") {
			s := stepOf(rapid.IntRange(1, 3).Draw(r, "tasks"), rapid.SampledFrom([]int{1000, 5000, 12000}).Draw(r, "cpu"))
			s.Estimate = drawTime(r, "estimate", 5*time.Second, 20*time.Second)
			p.after(drawTime(r, "accepted", 0, 10*time.Second), func() {
				p.accept(basilwork.Job{ID: fmt.Sprint("job", n), Queue: "quote", Steps: []basilwork.Step{s}})
			})
		}
		at := 3 * time.Second
		for range 3 {
			rack := rapid.IntRange(0, racks-1).Draw(r, "rack")
			at += drawTime(r, "pause", 6*time.Second, 12*time.Second)
			p.after(at, p.takeOver)
			p.after(at+drawTime(r, "after", 0, 1500*time.Millisecond), func() { p.crashRack(rack) })
		}
		p.watch()
		p.run(at + 45*time.Second)
		for _, g := range p.givenUp {
			r.Fatalf("%s is given up: %+v\n%s", g.Task, g.Crashes, p.log())
		}
		p.judge(r, false)
	})
}
