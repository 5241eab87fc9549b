package basilnode_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestCallHistoryViolations checks that each kind of contradiction in a history is found, and that nothing else counts as one.
func TestCallHistoryViolations(t *testing.T) {
	at := func(seconds float64) time.Time {
		return time.Unix(0, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	call := func(method string, sent, answered float64, status int, state string) callRecord {
		return callRecord{method: method, id: "a", host: "entry-1", sent: at(sent), answered: at(answered), status: status, state: state}
	}
	run := func(started, ended float64, how string, late bool) basilfake.Run {
		r := basilfake.Run{Task: "a.0.0.0", Started: at(started), How: how, Late: late}
		if how != "" {
			r.Ended = at(ended)
		}
		return r
	}
	const post, remove, get = http.MethodPost, http.MethodDelete, http.MethodGet
	accepted := call(post, 0, 1, http.StatusOK, "")
	cancelled := call(remove, 2, 2, http.StatusOK, "")
	gone := call(remove, 2, 2, http.StatusGone, "")
	completed := call(get, 20, 20, http.StatusOK, "completed")
	shown := call(get, 20, 20, http.StatusOK, "canceled")
	cases := []struct {
		name        string
		calls       []callRecord
		runs        []basilfake.Run
		disruptions []span
		want        string // part of the violation, or empty
	}{
		{"completes", []callRecord{accepted, completed}, []basilfake.Run{run(1, 3, "done", false)}, nil, ""},
		{"runs twice", []callRecord{accepted, completed}, []basilfake.Run{run(1, 3, "done", false), run(4, 5, "done", false)}, nil, "done twice"},
		{"runs twice beside a disruption", []callRecord{accepted, completed}, []basilfake.Run{run(1, 3, "done", false), run(4, 5, "done", false)}, []span{{at(2), at(6)}}, ""},
		{"does not complete", []callRecord{accepted, call(get, 20, 20, http.StatusOK, "active")}, nil, nil, "was accepted"},
		{"completes without a run", []callRecord{accepted, completed}, nil, nil, "0 of 1 tasks"},
		{"is lost", []callRecord{accepted, call(get, 5, 5, http.StatusGone, ""), completed}, []basilfake.Run{run(1, 3, "done", false)}, nil, "and was accepted"},
		{"is cancelled", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(1, 3, "stopped", false)}, nil, ""},
		{"starts within the bound", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(4.9, 5.8, "stopped", false)}, nil, ""},
		{"starts too late", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(5.1, 5.8, "stopped", false)}, nil, "starts 3.1s after its job's DELETE"},
		{"starts too late after an answer that there is no such job", []callRecord{gone, shown}, []basilfake.Run{run(5.1, 5.8, "stopped", false)}, nil, "starts 3.1s"},
		{"runs on", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(1, 6, "stopped", false)}, nil, "runs on until 4s"},
		{"still runs", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(1, 0, "", false)}, nil, "runs on until 28s"},
		{"runs on beside a disruption", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(1, 9, "stopped", false)}, []span{{at(3), at(6)}}, ""},
		{"runs on after a disruption", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(1, 10, "stopped", false)}, []span{{at(3), at(6)}}, "runs on until 8s"},
		{"is started late and stopped in time", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(6, 9.8, "stopped", true)}, nil, ""},
		{"is started late and runs on", []callRecord{accepted, cancelled, shown}, []basilfake.Run{run(6, 10, "stopped", true)}, nil, "(late true) runs on"},
		{"is refused", []callRecord{call(post, 0, 1, http.StatusServiceUnavailable, ""), call(get, 20, 20, http.StatusGone, "")}, nil, nil, ""},
		{"is refused and runs", []callRecord{call(post, 0, 1, http.StatusTooManyRequests, "")}, []basilfake.Run{run(1, 3, "done", false)}, nil, "was refused"},
		{"is refused, then not answered", []callRecord{call(post, 0, 1, http.StatusServiceUnavailable, ""), call(post, 0, 1, 0, "")}, []basilfake.Run{run(1, 3, "done", false)}, nil, ""},
		{"is active after its cancellation", []callRecord{accepted, cancelled, call(get, 3, 3, http.StatusOK, "active"), shown}, nil, nil, "active after DELETE"},
		{"is unknown after its cancellation", []callRecord{accepted, cancelled, call(get, 3, 3, http.StatusGone, ""), shown}, nil, nil, "after DELETE"},
		{"was asked for before its cancellation", []callRecord{accepted, cancelled, call(get, 1.5, 3, http.StatusOK, "active"), shown}, nil, nil, ""},
		{"was asked for at the same time", []callRecord{accepted, cancelled, call(get, 2, 3, http.StatusOK, "active"), shown}, nil, nil, ""},
		{"completes after its cancellation", []callRecord{accepted, cancelled, completed}, []basilfake.Run{run(1, 3, "done", false)}, nil, "completed after DELETE"},
		{"had completed before its cancellation", []callRecord{accepted, cancelled, completed}, []basilfake.Run{run(1, 1.5, "done", false)}, nil, ""},
		{"changes its outcome", []callRecord{accepted, cancelled, shown, call(get, 21, 21, http.StatusOK, "completed")}, []basilfake.Run{run(1, 1.5, "done", false)}, nil, "completed after GET"},
		{"is unknown and stays so", []callRecord{gone, call(get, 20, 20, http.StatusGone, "")}, nil, nil, ""},
		{"is active after it was unknown", []callRecord{gone, accepted, call(get, 20, 20, http.StatusOK, "active")}, nil, nil, "active after DELETE"},
		{"is canceled by nobody", []callRecord{accepted, shown}, nil, nil, "nobody cancelled it"},
	}
	unserved := callHistory{tasks: map[string]int{"a": 1}, calm: true, calls: []callRecord{call(remove, 2, 2, http.StatusServiceUnavailable, "")}}
	must.StrContains(t, strings.Join(unserved.violations(), "\n"), "with nothing in the way")
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			h := callHistory{tasks: map[string]int{"a": 1}, calls: tc.calls, runs: tc.runs, disruptions: tc.disruptions, end: at(30)}
			got := strings.Join(h.violations(), "\n")
			if tc.want == "" {
				must.Eq(t, "", got)
			}
			must.StrContains(t, got, tc.want)
		})
	}
}
