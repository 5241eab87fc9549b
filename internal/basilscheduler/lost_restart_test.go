package basilscheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

// TestStartThatReachesNextIncarnationRunsOnce checks that a task runs once though its start reaches a backend server that has come back under its
// ID before the owner knows, and is carried out there after the owner has given the server up and started the task elsewhere.
func TestStartThatReachesNextIncarnationRunsOnce(t *testing.T) {
	t.Parallel()
	const plays, silence = 200, 7 * time.Second // longer than the leases of the incarnation before
	for seed := range uint64(plays) {
		p := newLostPlay(5, seed)
		h := p.hosts[0]
		s := stepOf(1, 16000)
		s.Estimate = 20 * time.Second
		p.after(20*time.Second, func() {
			h.life.die()
			h.begin(p, h.life.ID)
			for n := range 4 {
				p.accept(basilwork.Job{ID: fmt.Sprint("job", n), Queue: "quote", Steps: []basilwork.Step{s}})
			}
			h.lateUntil, h.lateOrders = p.now.Add(100*time.Millisecond), []string{"start", "hold"}
			p.after(100*time.Millisecond, func() { h.silentUntil = p.now.Add(silence) })
		})
		p.run(35 * time.Second)
		must.Eq(t, "", p.failure, must.Sprint(p.log()))
	}
}
