package basilscheduler

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestJobOfFormerOwnersRunsThoughOwnersChange checks that a job goes on though each owner is replaced before the grace for a silent backend server
// has passed: no owner since has been in touch with that server, so its leases have long expired. The job waited until an owner stayed.
func TestJobOfFormerOwnersRunsThoughOwnersChange(t *testing.T) {
	p := newLostPlay(4, 1)
	p.after(5*time.Second, func() { p.hosts[0].life.die() })
	second := stepOf(1, 1000)
	second.After = []int{0}
	p.after(5900*time.Millisecond, func() {
		p.accept(basilwork.Job{ID: "j", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000), second}})
	})
	p.after(13*time.Second, func() { p.accept(basilwork.Job{ID: "newer", Queue: "quote", Steps: []basilwork.Step{stepOf(1, 1000)}}) })
	for n := range 5 {
		p.after(time.Duration(n+1)*6*time.Second, func() {
			p.owner.alive = false
			p.takeOver()
		})
	}
	p.run(6*time.Second + playGrace + 3*time.Second + 6*time.Second)
	must.SliceNotEmpty(t, p.task(basilwork.TaskID{Job: "newer"}).begins)
	must.SliceNotEmpty(t, p.task(basilwork.TaskID{Job: "j", Step: 1}).begins, must.Sprint(p.log()))
}
