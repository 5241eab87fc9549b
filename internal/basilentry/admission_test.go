package basilentry

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilqueue"
	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilview"
	"basilstage.example/basilstage/pkg/basilapi"
)

func TestRefusalsOfQueuesAreNotRun(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	late, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	tests := []struct {
		name  string
		ctx   context.Context
		team  string
		code  basilapi.Code
		retry bool
	}{
		{"no backend server", context.Background(), "shop", basilapi.CodeNoRunner, true},
		{"quota", context.Background(), "limited", basilapi.CodeQuotaExceeded, true},
		{"cancelled", ended, "shop", basilapi.CodeCancelled, false},
		{"too late", late, "shop", basilapi.CodeDeadlineExceeded, false},
	}
	queues := basilqueue.NewQueues(basilqueue.Options{Capacity: places{router: basilrouter.NewRouter(basilrouter.RouterOptions{})}})
	queues.SetQuotas([]basilqueue.Quota{{Team: "limited", RatePerSecond: 0.001, Burst: 1}}, 1)
	must.NoError(t, queues.ChargeQuota("limited"))
	s := &jobService{queues: queues, control: basilview.NewControl(basilview.Options{Trail: basilaudit.NewTrail(&basilstandin.Table{})})}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run := s.runFor(tt.team)
			r := run(tt.ctx, basilapi.JobID{}, basilapi.SubmitRequest{Service: "quote"}, func(int) bool {
				t.Error("the job was started")
				return false
			})
			must.EqOp(t, basilapi.OutcomeNotRun, r.Outcome)
			must.EqOp(t, tt.code, r.Problem.Code, must.Sprint(r.Problem.Message))
			must.EqOp(t, tt.retry, r.Problem.RetryAfter() > 0)
		})
	}
	must.NotEq(t, runKind("a", basilapi.SubmitRequest{Kind: "report"}), runKind("b", basilapi.SubmitRequest{Kind: "report"}))
	overloaded := refusalOf(errors.WithStack(basilqueue.ErrDeadlineUnreachable{RetryAfter: time.Second}))
	must.EqOp(t, basilapi.CodeOverloaded, overloaded.Code)
	must.EqOp(t, time.Second, overloaded.RetryAfter())
}
