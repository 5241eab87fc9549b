package basilnode_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	rapidDefaultChecks = "100"
	cancelChecks       = "10" // checks of each property in CI, which take about 5 s there
	maxListed          = 12   // violations in a message
)

// limitChecks sets the number of checks of a property that takes long, unless it was set on the command line or by RAPID_CHECKS.
func limitChecks(t *testing.T) {
	t.Helper()
	checks := flag.Lookup("rapid.checks").Value.String()
	if checks == rapidDefaultChecks {
		must.NoError(t, flag.Set("rapid.checks", cancelChecks))
		t.Cleanup(func() { _ = flag.Set("rapid.checks", checks) }) // the value was valid before
	}
}

// drawCancelPlan draws requests for a few jobs, and up to so many failures beside them.
func drawCancelPlan(rt *rapid.T, kinds []string, failures int, early bool) cancelPlan {
	plan := cancelPlan{early: early}
	ms := func(from, to int, label string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(rt, label)) * time.Millisecond
	}
	host := rapid.IntRange(0, 5)
	deleteFrom := 0
	if early {
		deleteFrom = -300
	}
	for job := range rapid.IntRange(1, 5).Draw(rt, "jobs") {
		plan.shapes = append(plan.shapes, rapid.IntRange(0, len(shapes)-1).Draw(rt, "shape"))
		submitted := 300*time.Millisecond + ms(0, 4000, "submitted")
		plan.steps = append(plan.steps, cancelStep{at: submitted, kind: "post", job: job, host: host.Draw(rt, "host")})
		for range rapid.IntRange(0, 3).Draw(rt, "repeats") {
			plan.steps = append(plan.steps, cancelStep{at: submitted + ms(0, 9000, "repeated after"), kind: "post", job: job, host: host.Draw(rt, "host")})
		}
		for range rapid.IntRange(0, 2).Draw(rt, "deletes") {
			plan.steps = append(plan.steps, cancelStep{at: submitted + ms(deleteFrom, 4000, "deleted after"), kind: "delete", job: job, host: host.Draw(rt, "host")})
		}
		for range rapid.IntRange(0, 2).Draw(rt, "gets") {
			plan.steps = append(plan.steps, cancelStep{at: submitted + ms(0, 9000, "asked after"), kind: "get", job: job, host: host.Draw(rt, "host")})
		}
	}
	for range rapid.IntRange(0, failures).Draw(rt, "failures") {
		plan.steps = append(plan.steps, cancelStep{at: ms(0, 9000, "fails at"), kind: rapid.SampledFrom(kinds).Draw(rt, "failure"), host: host.Draw(rt, "host"), last: ms(200, 6000, "lasts")})
	}
	return plan
}

func checkCancels(t *testing.T, kinds []string, failures int, early bool) {
	limitChecks(t)
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawCancelPlan(rt, kinds, failures, early)
		if wrong := playCancels(t, plan, false); len(wrong) > 0 {
			rt.Fatalf("shapes %v, early %v, steps:\n%s\n%d violations:\n%s", plan.shapes, plan.early, stepLines(plan.steps), len(wrong), strings.Join(wrong[:min(len(wrong), maxListed)], "\n"))
		}
	})
}

func stepLines(steps []cancelStep) string {
	var lines strings.Builder
	for _, s := range steps {
		fmt.Fprintf(&lines, "\t%s,\n", s)
	}
	return lines.String()
}

var failureSteps = append(append([]string{}, calmSteps...), harshSteps...)

// TestPropertyCancelledJobs submits and cancels jobs beside random failures, and checks what callers and backend servers see.
func TestPropertyCancelledJobs(t *testing.T) {
	checkCancels(t, failureSteps, 5, false)
}

// TestPropertyCancellationsBeforeAcceptance is the same with cancellations that are sent before the submission is answered.
func TestPropertyCancellationsBeforeAcceptance(t *testing.T) {
	checkCancels(t, failureSteps, 5, true)
}

// TestPropertyCancelledJobsBesideRouteChanges is the same beside changes of the service that the queue is routed to, of which some entry
// hosts learn late.
func TestPropertyCancelledJobsBesideRouteChanges(t *testing.T) {
	const r, j = routeStep, "join"
	checkCancels(t, append([]string{r, r, r, r, r, r, r, r, j, j, j, j, "behind", "behind"}, failureSteps...), 9, true)
}

// TestIgnoredCancellationIsFound checks that the checks of the properties find tasks of a job whose cancellation was answered and ignored.
func TestIgnoredCancellationIsFound(t *testing.T) {
	plan := cancelPlan{shapes: []int{3}, steps: []cancelStep{
		{at: 300 * time.Millisecond, kind: "post"},
		{at: 600 * time.Millisecond, kind: "delete"},
	}}
	must.SliceEmpty(t, playCancels(t, plan, false))
	wrong := strings.Join(playCancels(t, plan, true), "\n")
	must.StrContains(t, wrong, "runs on until")
	must.StrContains(t, wrong, "GET at entry-1 answered 200 completed after DELETE")
}

// TestCancelRegressions runs plans that failed in the past, each named after its failure, several times, since the order of simultaneous
// events differs between runs.
func TestCancelRegressions(t *testing.T) {
	const ms = time.Millisecond
	plans := map[string]cancelPlan{
		"an order for a host that ended a task of a cancelled job was judged as one that ends wanted work": {shapes: []int{2, 0, 4}, steps: []cancelStep{
			{at: 1 * ms, kind: "stops lost", host: 1, last: 4466 * ms},
			{at: 304 * ms, kind: "post", job: 2, host: 2},
			{at: 332 * ms, kind: "delete", job: 2, host: 2},
			{at: 332 * ms, kind: "stop", host: 1, last: 200 * ms},
			{at: 1565 * ms, kind: "post", job: 1, host: 1},
			{at: 2268 * ms, kind: "post", job: 0, host: 4},
			{at: 2406 * ms, kind: "delete", job: 0, host: 1},
		}},
	}
	for name, plan := range plans {
		for n := range 4 {
			t.Run(fmt.Sprint(name, n), func(t *testing.T) { must.SliceEmpty(t, playCancels(t, plan, false)) })
		}
	}
}
