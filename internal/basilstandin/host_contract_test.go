package basilstandin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// outcomeOf names what an error says of the request's effect.
func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case basilplatform.IsErrOutcomeUnknown(err):
		return "outcome unknown"
	case basilplatform.IsErrUnavailable(err):
		return "unavailable"
	case basilplatform.IsErrRefused(err):
		return "refused"
	}
	return "of no known type: " + err.Error()
}

const (
	platformAddress = "10.0.0.1:80"
	backendAddress  = "10.0.0.2:80"
)

// site is a platform and a backend server on a network without sockets, and a session's record.
type site struct {
	network  basilstandin.Network
	platform *basilstandin.Platform
	backend  *basilstandin.Backend
	list     *basilfleet.HostList
	control  *basilfleet.HostControl
	tasks    *basilfleet.Tasks
	session  strings.Builder
}

func newSite(o basilstandin.BackendOptions) *site {
	s := &site{backend: basilstandin.NewBackend(o)}
	s.platform = basilstandin.NewPlatform(basilstandin.PlatformOptions{RebootTime: time.Minute, Client: s.network.Client()})
	s.network.Listen(platformAddress, s.platform.Handler())
	s.network.Listen(backendAddress, s.backend.Handler())
	s.list = basilfleet.NewHostList("http://"+platformAddress, s.network.Client())
	s.control = basilfleet.NewHostControl("http://"+platformAddress, s.network.Client())
	s.tasks = basilfleet.NewTasks(s.network.Client())
	s.platform.SetHosts([]basilplatform.ListedHost{
		{ID: "h1", DataCentre: "rimouski", Rack: "r1", Pool: "drop-off", Address: backendAddress, Cores: 16, MemoryMB: 64 << 10},
		{ID: "h2", DataCentre: "rimouski", Rack: "r1", Pool: "drop-off"},
	})
	return s
}

func (s *site) log(format string, args ...any) { fmt.Fprintf(&s.session, format+"\n", args...) }

// move is one step of a session.
type move func(ctx context.Context, s *site)

// instant keeps a session's steps apart from the timers that end at the same time.
const instant = time.Millisecond

func wait(d time.Duration) move {
	return func(_ context.Context, s *site) {
		time.Sleep(d + instant)
		s.log("wait %s", d)
	}
}

func hosts(ctx context.Context, s *site) {
	hosts, err := s.list.List(ctx)
	var names []string
	for _, h := range hosts {
		name := h.ID
		if h.Leaving {
			name += " leaving"
		}
		names = append(names, name)
	}
	s.log("list: %s [%s]", outcomeOf(err), strings.Join(names, ", "))
}

func change(name string, f func(*basilstandin.Platform)) move {
	return func(_ context.Context, s *site) {
		f(s.platform)
		s.log("%s", name)
	}
}

func faults(f basilstandin.PlatformFaults) move {
	return func(_ context.Context, s *site) { s.platform.SetFaults(f) }
}

func drained(host string) move {
	return func(ctx context.Context, s *site) {
		ok, err := s.control.Drained(ctx, host)
		s.log("drained %s: %s %t", host, outcomeOf(err), ok)
	}
}

func reboot(host string, epoch int64) move {
	return func(ctx context.Context, s *site) {
		s.log("reboot %s epoch %d: %s", host, epoch, outcomeOf(s.control.Reboot(ctx, host, epoch)))
	}
}

func rebooted(host string, epoch int64) move {
	return func(ctx context.Context, s *site) {
		ok, err := s.control.Rebooted(ctx, host, epoch)
		s.log("rebooted %s epoch %d: %s %t", host, epoch, outcomeOf(err), ok)
	}
}

func status(_ context.Context, s *site) {
	b := s.backend.Status()
	s.log("backend server: in progress %d, leaving %t, ready %t", b.InProgress, b.Leaving, b.Ready)
}

func leave(_ context.Context, s *site) {
	s.backend.Leave()
	s.log("leave")
}

func network(address string, f basilstandin.NetworkFaults) move {
	return func(_ context.Context, s *site) { s.network.SetFaults(address, f) }
}

// play runs the sessions, each in a paused clock, and compares them with the golden file.
func play(t *testing.T, golden string, sessions []session) {
	var all strings.Builder
	for _, x := range sessions {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(basilstandin.BackendOptions{ID: "h1", RunTime: basilstandin.ConstantRunTime(time.Second)})
			for _, m := range x.moves {
				m(t.Context(), s)
			}
			fmt.Fprintf(&all, "# %s\n%s", x.name, s.session.String())
		})
	}
	goldie.New(t).Assert(t, golden, []byte(all.String()))
}

type session struct {
	name  string
	moves []move
}

func TestHostSessions(t *testing.T) {
	remove := change("h1 is removed", func(p *basilstandin.Platform) { p.RemoveHost("h1") })
	leaving := change("h2 is leaving", func(p *basilstandin.Platform) { p.SetLeaving("h2", true) })
	add := change("h3 is added", func(p *basilstandin.Platform) { p.AddHost(basilplatform.ListedHost{ID: "h3"}) })
	lag := faults(basilstandin.PlatformFaults{HostListLagS: 30})
	none := faults(basilstandin.PlatformFaults{})
	away := network(platformAddress, basilstandin.NetworkFaults{Unreachable: true})
	deaf := network(platformAddress, basilstandin.NetworkFaults{LoseRequests: true})
	mute := network(platformAddress, basilstandin.NetworkFaults{LoseAnswers: true})
	well := network(platformAddress, basilstandin.NetworkFaults{})
	play(t, "host-sessions", []session{
		{"list", []move{hosts, leaving, hosts, remove, hosts, add, hosts}},
		{"list that lags", []move{wait(time.Hour), lag, hosts, remove, hosts, wait(10 * time.Second), leaving, wait(20 * time.Second), hosts, wait(10 * time.Second), hosts}},
		{"list of before the first host", []move{lag, hosts, wait(30 * time.Second), hosts}},
		{"list that is down", []move{faults(basilstandin.PlatformFaults{HostListDown: true}), hosts, none, hosts}},
		{"platform out of reach", []move{away, hosts, drained("h2"), reboot("h2", 1), rebooted("h2", 1), well, rebooted("h2", 1)}},
		{"request lost", []move{deaf, hosts, reboot("h2", 1), well, rebooted("h2", 1)}},
		{"answer lost after the effect", []move{mute, reboot("h2", 1), well, wait(time.Minute), rebooted("h2", 1)}},
		{"reboot", []move{drained("h1"), rebooted("h1", 1), reboot("h1", 1), status, rebooted("h1", 1), wait(time.Minute), rebooted("h1", 1), status}},
		{"reboot again for the same epoch", []move{reboot("h2", 1), wait(time.Minute), reboot("h2", 1), rebooted("h2", 1)}},
		{"reboot for a later epoch", []move{reboot("h2", 1), wait(time.Minute), reboot("h2", 2), rebooted("h2", 1), rebooted("h2", 2), wait(time.Minute), rebooted("h2", 2)}},
		{"reboot for an earlier epoch", []move{reboot("h2", 2), reboot("h2", 1), rebooted("h2", 2)}},
		{"reboot of a host that holds work", []move{start(1), drained("h1"), reboot("h1", 1), stop(1), drained("h1"), reboot("h1", 1)}},
		{"reboot ends leaving and forgets tasks", []move{leave, stop(1), reboot("h1", 4), wait(time.Minute), status, startAt(2, 3), startAt(2, 4), status}},
		{"host control refuses", []move{faults(basilstandin.PlatformFaults{Refuse: true}), reboot("h2", 1), rebooted("h2", 1), none, reboot("h2", 1)}},
		{"host that does not exist", []move{drained("h9"), reboot("h9", 1), rebooted("h9", 1)}},
		{"backend server out of reach", []move{network(backendAddress, basilstandin.NetworkFaults{Unreachable: true}), drained("h1"), reboot("h1", 1), rebooted("h1", 1)}},
	})
}

// The network without sockets and the real one give the same answers of a backend server.
func TestNetworkAgreesWithSockets(t *testing.T) {
	tests := []struct {
		name   string
		faults basilstandin.BackendFaults
		leave  bool
	}{
		{"well", basilstandin.BackendFaults{}, false},
		{"refuses", basilstandin.BackendFaults{Refuse: true}, false},
		{"fails", basilstandin.BackendFaults{FailAll: true}, false},
		{"dies within the answer", basilstandin.BackendFaults{DieMidAnswer: true}, false},
		{"loses the answer", basilstandin.BackendFaults{LoseAnswer: true}, false},
		{"leaving", basilstandin.BackendFaults{}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := basilstandin.NewBackend(basilstandin.BackendOptions{})
			b.SetFaults(tt.faults)
			if tt.leave {
				b.Leave()
			}
			s := httptest.NewServer(b.Handler())
			defer s.Close()
			var n basilstandin.Network
			n.Listen(backendAddress, b.Handler())
			over := seen(t, http.DefaultClient, s.URL)
			must.EqOp(t, over, seen(t, n.Client(), "http://"+backendAddress))
			must.EqOp(t, 0, b.Status().InProgress)
		})
	}
}

// seen describes what a caller sees of one run.
func seen(t *testing.T, c *http.Client, url string) string {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+basilapi.RunPath, strings.NewReader("payload"))
	must.NoError(t, err)
	r.Header.Set(basilapi.HeaderJob, "j")
	r.Header.Set(basilapi.HeaderAttempt, "1")
	return describe(c.Do(r))
}
