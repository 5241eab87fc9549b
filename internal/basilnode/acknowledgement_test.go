package basilnode

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilscheduler"
	"basilstage.example/basilstage/internal/basilwork"
)

// silentCommander commands backend servers that answer nothing.
type silentCommander struct{ basilwork.Commander }

func (silentCommander) Hold(ctx context.Context, _ basilwork.Backend, _ basilwork.HoldOrder) (basilwork.Report, error) {
	<-ctx.Done()
	return basilwork.Report{}, ctx.Err()
}

// TestEndsOfRestartedBackendAreNotAcknowledgedUnread checks that no ends are acknowledged to a backend server under the numbers of its life
// before, when it has left the list while idle, and comes back under its ID.
func TestEndsOfRestartedBackendAreNotAcknowledgedUnread(t *testing.T) {
	now := time.Now()
	o := &owner{
		node: &Node{commander: silentCommander{}}, log: logrus.NewEntry(basillog.Discard()), pool: basilscheduler.New(basilscheduler.Options{Epoch: 1}, now),
		connections: make(map[string]*connection), events: make(chan event, 1), ctx: t.Context(), stopping: true,
	}
	answer := func(startedAt int64, ends ...basilwork.EndedRun) {
		o.Report("b1", basilwork.Report{StartedAt: startedAt, Ended: ends}, now, false)
		(<-o.events).handle(now)
		o.commit.acknowledge(o.pool.Processed())
	}
	o.setBackends([]basilwork.Backend{{ID: "b1", StartedAt: 1}})
	answer(1, basilwork.EndedRun{Number: 57, Task: "0123456789abcdef.0.0.0", Attempt: 1})
	must.Eq(t, 57, o.commit.acked["b1"])
	o.setBackends(nil)
	o.setBackends([]basilwork.Backend{{ID: "b1", StartedAt: 2}})
	answer(2)
	must.Zero(t, o.commit.acked["b1"])
}
