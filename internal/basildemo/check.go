package basildemo

import (
	"context"
	"fmt"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/pkg/basilapi"
)

// verdict is one promise and what was seen of it.
type verdict struct {
	promise string
	seen    string
	held    bool
}

// checkJobs compares what callers were told with what the backend servers started.
func (f *fleet) checkJobs(jobs []job) []verdict {
	told := make(map[basilapi.Outcome]int)
	partial, twice, untrue := 0, 0, 0
	for _, j := range jobs {
		told[j.outcome]++
		starts := f.starts(j.id)
		if j.outcome == basilapi.OutcomeRan && !j.whole {
			partial++
		}
		if j.service == "receipt" && starts > 1 {
			twice++
		}
		if j.outcome == basilapi.OutcomeNotRun && starts > 0 {
			untrue++
		}
	}
	return []verdict{
		{"every answer is whole and the caller's own", fmt.Sprintf("%d answered, %d not whole", told[basilapi.OutcomeRan], partial), partial == 0 && told[basilapi.OutcomeRan] > 0},
		{"a job told as not run was not run", fmt.Sprintf("%d told so, %d untrue", told[basilapi.OutcomeNotRun], untrue), untrue == 0},
		{"a non-idempotent job runs at most once", fmt.Sprintf("%d ran twice", twice), twice == 0},
		{"planned stops and moves cut no job off", fmt.Sprintf("%d with an unknown outcome", told[basilapi.OutcomeUnknown]), told[basilapi.OutcomeUnknown] == 0},
	}
}

func (f *fleet) starts(id basilapi.JobID) int {
	total := 0
	for _, b := range f.backends {
		total += b.Starts(id.String())
	}
	return total
}

// checkTrail replays the audit trail and compares every step with the budgets.
func (f *fleet) checkTrail(ctx context.Context) ([]verdict, error) {
	hosts := make(map[string]basilmodel.Host)
	var configuration basilmodel.Configuration
	broken, steps := 0, 0
	var after int64
	for {
		entries, err := basilaudit.NewTrail(f.platform.Table()).After(ctx, after, 0)
		if err != nil {
			return nil, err
		}
		if len(entries) == 0 {
			break
		}
		for _, e := range entries {
			after = e.Sequence()
			steps++
			if d := e.Configuration(); d != nil {
				configuration, _ = configuration.Apply(*d)
			}
			for _, h := range e.Hosts() {
				hosts[h.ID()] = h
			}
			broken += brokenBudgets(configuration, hosts)
		}
	}
	moved := hosts["fukuoka-1"].Pool() == "stretch"
	maintained := 0
	for _, h := range hosts {
		if h.Serviced() == waveName {
			maintained++
		}
	}
	return []verdict{
		{"every availability budget holds", fmt.Sprintf("%d changes, %d broke one", steps, broken), broken == 0},
		{"the move ended in its pool", fmt.Sprintf("fukuoka-1 is in pool %s", hosts["fukuoka-1"].Pool()), moved},
		{"the wave maintained every host", fmt.Sprintf("%d of %d", maintained, len(hosts)), maintained == len(hosts)},
	}, nil
}

// brokenBudgets counts the services that have too few hosts in service, once all hosts are registered.
func brokenBudgets(c basilmodel.Configuration, hosts map[string]basilmodel.Host) int {
	if len(hosts) < len(hostPlan)*len(dataCentres) {
		return 0
	}
	available := make(map[string]int)
	for _, h := range hosts {
		if h.State() == basilmodel.HostStateActive {
			available[h.Pool()]++
		}
	}
	broken := 0
	for _, s := range c.Services() {
		if available[s.Pool] < s.MinAvailable {
			broken++
		}
	}
	return broken
}
