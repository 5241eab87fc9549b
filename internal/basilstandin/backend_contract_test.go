package basilstandin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

const runPatience = 10 * time.Second

// describe tells what a caller sees of an answer of the runner protocol.
func describe(answer *http.Response, err error) string {
	if err != nil {
		return "no answer"
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	text := fmt.Sprintf("%d %.30q of %d", answer.StatusCode, body, answer.ContentLength)
	if err != nil {
		text += ", cut off"
	}
	if reason := answer.Header.Get(basilapi.HeaderNotStarted); reason != "" {
		text += ", not started: " + reason
	}
	if answer.Header.Get(basilapi.HeaderLeaving) != "" {
		text += ", leaving"
	}
	return text
}

// request sends one job to the runner and returns what its caller sees.
func (s *site) request(ctx context.Context, job, attempt, payload string) string {
	ctx, cancel := context.WithTimeout(ctx, runPatience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+backendAddress+basilapi.RunPath, strings.NewReader(payload))
	if err != nil {
		return err.Error()
	}
	r.Header.Set(basilapi.HeaderJob, job)
	r.Header.Set(basilapi.HeaderAttempt, attempt)
	r.Header.Set(basilapi.HeaderService, "receipts")
	return describe(s.network.Client().Do(r))
}

func run(job, attempt, payload string) move {
	return func(ctx context.Context, s *site) {
		text := s.request(ctx, job, attempt, payload)
		time.Sleep(instant)
		s.log("run %s attempt %s: %s; starts %d", job, attempt, text, s.backend.Starts(job))
	}
}

// runMany sends n jobs at once and counts what their callers see.
func runMany(n int) move {
	return func(ctx context.Context, s *site) {
		answers := make(chan string, n)
		for i := range n {
			go func() { answers <- s.request(ctx, fmt.Sprint("many-", i), "1", "p") }()
		}
		counts := make(map[string]int)
		for range n {
			counts[<-answers]++
		}
		s.log("run %d at once: %v; jobs started %d", n, counts, len(s.backend.Jobs()))
	}
}

func inBackground(m move) move {
	return func(ctx context.Context, s *site) {
		quiet := &site{backend: s.backend, list: s.list, control: s.control, tasks: s.tasks}
		quiet.network.Listen(backendAddress, s.backend.Handler())
		go m(ctx, quiet)
		time.Sleep(instant)
	}
}

func ill(f basilstandin.BackendFaults) move {
	return func(_ context.Context, s *site) {
		s.backend.SetFaults(f)
		s.log("faults %+v", f)
	}
}

func TestRunnerSessions(t *testing.T) {
	well := ill(basilstandin.BackendFaults{})
	mute := network(backendAddress, basilstandin.NetworkFaults{LoseAnswers: true})
	deaf := network(backendAddress, basilstandin.NetworkFaults{LoseRequests: true})
	away := network(backendAddress, basilstandin.NetworkFaults{Unreachable: true})
	restart := func(_ context.Context, s *site) { s.backend.Restart(time.Minute, 0) }
	play(t, "runner-sessions", []session{
		{"run", []move{run("j", "1", "hem"), status}},
		{"repeats are counted, not hidden", []move{run("j", "1", "hem"), run("j", "1", "hem"), run("j", "2", "hem")}},
		{"more than its slots", []move{runMany(20), status}},
		{"leaving", []move{leave, run("j", "1", "hem"), status}},
		{"leaving while it runs", []move{inBackground(run("j", "1", "hem")), status, leave, status, wait(time.Second), status}},
		{"refuses", []move{ill(basilstandin.BackendFaults{Refuse: true}), run("j", "1", "hem"), well, run("j", "1", "hem")}},
		{"not ready", []move{restart, run("j", "1", "hem"), wait(time.Minute), run("j", "1", "hem")}},
		{"fails everything", []move{ill(basilstandin.BackendFaults{FailAll: true}), run("j", "1", "hem")}},
		{"dies within the answer", []move{ill(basilstandin.BackendFaults{DieMidAnswer: true}), run("j", "1", "hem")}},
		{"loses the answer", []move{ill(basilstandin.BackendFaults{LoseAnswer: true}), run("j", "1", "hem")}},
		{"hangs", []move{ill(basilstandin.BackendFaults{Hang: true}), run("j", "1", "hem"), status}},
		{"slow beyond the caller's patience", []move{ill(basilstandin.BackendFaults{SlowFactor: 30}), run("j", "1", "hem"), status, wait(20 * time.Second), status}},
		{"answer lost on the way", []move{mute, run("j", "1", "hem")}},
		{"request lost on the way", []move{deaf, run("j", "1", "hem")}},
		{"out of reach", []move{away, run("j", "1", "hem")}},
		{"no attempt", []move{run("j", "", "hem")}},
		{"no job", []move{run("", "1", "hem")}},
		{"oversized payload", []move{run("j", "1", strings.Repeat("x", basilapi.MaxPayloadBytes+1))}},
		{"largest payload", []move{run("j", "1", strings.Repeat("x", basilapi.MaxPayloadBytes))}},
	})
}

const (
	taskTime = 30 * time.Second
	lease    = 10 * time.Second
)

// startAt starts an attempt of job j under the host's epoch.
func startAt(attempt int, epoch int64) move { return startFrom(attempt, epoch, "") }

func start(attempt int) move { return startAt(attempt, 1) }

func startFrom(attempt int, epoch int64, checkpoint string) move {
	return func(ctx context.Context, s *site) {
		err := s.tasks.Start(ctx, backendAddress, basilplatform.Task{
			Job: "j", Attempt: attempt, HostEpoch: epoch, LeaseMillis: lease.Milliseconds(),
			Cores: 4, Checkpoint: []byte(checkpoint), Payload: []byte("hem"), DurationGuess: taskTime.Milliseconds(),
		})
		s.log("start %d at epoch %d: %s; starts %d", attempt, epoch, outcomeOf(err), s.backend.Starts("j"))
	}
}

func (s *site) logStatus(what string, attempt int, x basilplatform.TaskStatus, err error) {
	s.log("%s %d: %s, %s %q %s cores %g checkpoint %s", what, attempt, outcomeOf(err), x.State, x.Result, x.Message, x.UsageCores, x.Checkpoint)
}

func stop(attempt int) move {
	return func(ctx context.Context, s *site) {
		x, err := s.tasks.Stop(ctx, backendAddress, "j", attempt)
		s.logStatus("stop", attempt, x, err)
	}
}

func look(attempt int) move {
	return func(ctx context.Context, s *site) {
		x, err := s.tasks.Status(ctx, backendAddress, "j", attempt)
		s.logStatus("status", attempt, x, err)
	}
}

func renew(attempt int) move {
	return func(ctx context.Context, s *site) {
		s.log("renew %d: %s", attempt, outcomeOf(s.tasks.Renew(ctx, backendAddress, "j", attempt, lease)))
	}
}

func checkpoint(attempt int) move {
	return func(ctx context.Context, s *site) {
		s.log("checkpoint %d: %s", attempt, outcomeOf(s.tasks.Checkpoint(ctx, backendAddress, "j", attempt)))
	}
}

func throttle(attempt int, share float64) move {
	return func(ctx context.Context, s *site) {
		s.log("throttle %d to %g: %s", attempt, share, outcomeOf(s.tasks.Throttle(ctx, backendAddress, "j", attempt, share)))
	}
}

// renewFor keeps the lease of an attempt for some time.
func renewFor(attempt int, d time.Duration) move {
	return func(ctx context.Context, s *site) {
		for range int(d / time.Second) {
			time.Sleep(time.Second + instant)
			_ = s.tasks.Renew(ctx, backendAddress, "j", attempt, lease)
		}
		s.log("renew %d for %s", attempt, d)
	}
}

func TestTaskSessions(t *testing.T) {
	well := network(backendAddress, basilstandin.NetworkFaults{})
	mute := network(backendAddress, basilstandin.NetworkFaults{LoseAnswers: true})
	deaf := network(backendAddress, basilstandin.NetworkFaults{LoseRequests: true})
	away := network(backendAddress, basilstandin.NetworkFaults{Unreachable: true})
	lose := ill(basilstandin.BackendFaults{LoseAnswer: true})
	cure := ill(basilstandin.BackendFaults{})
	play(t, "task-sessions", []session{
		{"run to the end", []move{look(1), start(1), look(1), renewFor(1, 29*time.Second), look(1), renewFor(1, time.Second), look(1), renew(1), stop(1)}},
		{"repeat of a start", []move{start(1), start(1), renewFor(1, taskTime), start(1), look(1)}},
		{"stop", []move{start(1), stop(1), stop(1), look(1), renew(1), start(1)}},
		{"stop before the start", []move{stop(1), start(1), look(1), start(2)}},
		{"lease lapses", []move{start(1), wait(9 * time.Second), look(1), wait(time.Second), look(1), renew(1), start(1)}},
		{"lease renewed", []move{start(1), wait(9 * time.Second), renew(1), wait(9 * time.Second), look(1), wait(time.Second), look(1)}},
		{"resume from a checkpoint", []move{
			start(1), renewFor(1, 20*time.Second), checkpoint(1), look(1), stop(1),
			startFrom(2, 1, `{"done_ms":20000}`), wait(9 * time.Second), look(2), renew(2), wait(time.Second), look(2),
		}},
		{"throttle", []move{start(1), throttle(1, 0.5), look(1), renewFor(1, 31*time.Second), look(1), throttle(1, 1), renewFor(1, 14*time.Second), look(1), renewFor(1, time.Second), look(1)}},
		{"throttle to a stand", []move{start(1), throttle(1, 0), renewFor(1, time.Hour), look(1), throttle(1, 1), renewFor(1, taskTime), look(1)}},
		{"throttle to no share", []move{start(1), throttle(1, 1.5), throttle(1, -1), look(1)}},
		{"what does not run", []move{renew(1), checkpoint(1), throttle(1, 1)}},
		{"earlier epoch of the host", []move{startAt(1, 5), startAt(2, 4), startAt(3, 6), startAt(4, 5)}},
		{"leaving", []move{start(1), leave, start(2), renewFor(1, taskTime), look(1)}},
		{"refuses", []move{ill(basilstandin.BackendFaults{Refuse: true}), start(1), cure, start(1)}},
		{"fails all tasks", []move{ill(basilstandin.BackendFaults{FailAllTasks: true}), start(1), look(1)}},
		{"slow", []move{ill(basilstandin.BackendFaults{SlowFactor: 2}), start(1), renewFor(1, 59*time.Second), look(1), renewFor(1, time.Second), look(1)}},
		{"answer lost after the start", []move{lose, start(1), cure, look(1), start(1)}},
		{"answer lost after the stop", []move{start(1), lose, stop(1), cure, look(1)}},
		{"answer lost on the way", []move{mute, start(1), well, look(1)}},
		{"start lost on the way, then voided", []move{deaf, start(1), well, stop(1), start(1)}},
		{"out of reach", []move{away, start(1), stop(1), look(1), renew(1), well, look(1)}},
	})
}
