package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestCountedCrashIsStoredAtOnce checks that a crash that was counted is stored without delay: the owner may be killed.
func TestCountedCrashIsStoredAtOnce(t *testing.T) {
	f := newFixture(t, backendsWithoutRacks(2)...)
	f.addJob("j", stepOf(1, 1000))
	id := f.decideAndStart()[0].Backend
	f.Take("j")
	f.crash(id)
	ids, urgent := f.DirtyJobs()
	must.Eq(t, []string{"j"}, ids)
	must.True(t, urgent)
}

// TestPropertyCrashingLongRunningTaskIsGivenUpThoughOwnersAreKilled checks that a long-running task that crashes each server which starts it is
// given up within the platform's limit though its owner is killed up to twice, also while crashes are not known yet.
func TestPropertyCrashingLongRunningTaskIsGivenUpThoughOwnersAreKilled(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := newRackPlay(r, rapid.IntRange(9, 12).Draw(r, "hosts"), 2500*time.Millisecond, 6*time.Second)
		p.after(time.Second, func() {
			s := longStep(1, 1000)
			p.accept(basilwork.Job{ID: "bad", Queue: "quote", Steps: []basilwork.Step{s}})
		})
		for range rapid.IntRange(0, 2).Draw(r, "kills") {
			p.after(drawTime(r, "killed", time.Second, 20*time.Second), func() {
				p.trace("owner dies")
				p.owner.alive = false
				o := p.owner
				p.after(2*time.Second, func() {
					if p.owner == o {
						p.takeOver()
					}
				})
			})
		}
		p.watch()
		p.run(80 * time.Second)
		p.judge(r, true)
	})
}
