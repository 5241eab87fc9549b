package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestLongRunningTaskRunsAgainThoughItsNextServersHaveGone checks, by the seconds of the platform's rules, that a task whose run has failed runs again
// though each of the next servers is gone for good when its start is requested there.
func TestLongRunningTaskRunsAgainThoughItsNextServersHaveGone(t *testing.T) {
	const plays, most = 10, 5
	for seed := range uint64(plays) {
		for gone := range most + 1 {
			t.Run(fmt.Sprintf("seed %d, %d gone", seed, gone), func(t *testing.T) {
				p := newOwnersPlay(20, seed, time.Hour)
				p.onlyCalm, p.restless = true, true
				id := basilwork.TaskID{Job: "job0"}
				p.after(7*time.Second, func() {
					p.runs(func(s *playServer, r *playRun) {
						if r.task == id {
							p.after(0, func() { s.endRun(r, basilwork.RunEndFailed) })
						}
					})
				})
				left := gone
				p.beforeStart = func(s Start) {
					if h := p.hostOf(s.Backend); s.Task == id && p.now.Sub(p.began) > 7*time.Second && left > 0 && h.life.up {
						left--
						p.disturbedAt = p.now
						h.life.die()
					}
				}
				p.run(50 * time.Second)
				must.Eq(t, "", p.failure, must.Sprint(p.log()))
				must.Zero(t, left)
			})
		}
	}
}
