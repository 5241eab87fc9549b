package basilentry_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
	"basilstage.example/basilstage/pkg/basilclient"
)

// transcript records what operators ask, give and are told.
type transcript struct {
	*cluster
	client *basilclient.Client // of the first entry host
	text   strings.Builder
}

func (s *transcript) note(text string) { fmt.Fprintf(&s.text, "# %s\n\n", text) }

// counters are the columns whose cells differ from run to run.
var counters = []string{"sequence", "epoch", "applied", "bytes_in", "bytes_out"}

func (s *transcript) query(text string) {
	a, err := s.client.Query(s.t.Context(), text)
	fmt.Fprintf(&s.text, "? %s\n", text)
	if err != nil {
		s.refused(err)
		return
	}
	s.text.WriteString(strings.Join(a.Columns, " | ") + "\n")
	for _, r := range a.Rows {
		for n, c := range a.Columns {
			if slices.Contains(counters, c) {
				r[n] = "N"
			}
		}
		s.text.WriteString(strings.Join(r, " | ") + "\n")
	}
	s.text.WriteString("\n")
}

func (s *transcript) give(text string) { s.request(basilapi.OperatorRequest{Text: text}) }

func (s *transcript) request(r basilapi.OperatorRequest) {
	a, err := s.client.Command(s.t.Context(), r)
	fmt.Fprintf(&s.text, "! %s\n", r.Text)
	if err != nil {
		s.refused(err)
		return
	}
	if a.Sequence > 0 {
		fmt.Fprintf(&s.text, "accepted, audit entry %d: %s\n\n", a.Sequence, a.Summary)
		return
	}
	fmt.Fprintf(&s.text, "accepted: %s\n\n", a.Summary)
}

func (s *transcript) refused(err error) {
	p, ok := basilapi.AsProblem(err)
	must.True(s.t, ok, must.Sprint(err))
	fmt.Fprintf(&s.text, "%s (%s): %s; %s\n\n", p.Outcome, p.Code, p.Message, p.Hint)
}

func (s *transcript) awaitRow(query string) {
	s.t.Helper()
	s.await(query, func() bool {
		a, err := s.client.Query(s.t.Context(), query)
		return err == nil && len(a.Rows) == 1
	})
}

var (
	textIDs     = regexp.MustCompile(`[0-9A-HJKMNP-TV-Z]{26}`)
	textTimes   = regexp.MustCompile(`\d{4}-\d\d-\d\dT[0-9:.]+Z`)
	textPlaces  = regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`)
	textEntries = regexp.MustCompile(`(entry |epoch )\d+`)
)

// normal replaces what differs from run to run, ids by their order of appearance.
func (s *transcript) normal() []byte {
	known := make(map[string]string)
	text := textIDs.ReplaceAllStringFunc(s.text.String(), func(id string) string {
		if known[id] == "" {
			known[id] = fmt.Sprintf("<id-%d>", len(known)+1)
		}
		return known[id]
	})
	text = textTimes.ReplaceAllString(text, "<time>")
	text = textPlaces.ReplaceAllString(text, "<address>")
	return []byte(textEntries.ReplaceAllString(text, "${1}N"))
}

// TestOperatorsSession covers each query, explanation, command and kind of mistake once.
func TestOperatorsSession(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 97, "fukuoka", "kumamoto")
	for _, id := range []string{"f1", "f2", "f3"} {
		c.addHost(id, "fukuoka", "counter", basilstandin.BackendOptions{})
	}
	c.addHost("k1", "kumamoto", "counter", basilstandin.BackendOptions{})
	c.addHost("w1", "fukuoka", "stretch", basilstandin.BackendOptions{})
	c.open(basilmodel.ConfigurationRecord{
		Pools: []basilmodel.Pool{{Name: "counter"}, {Name: "empty"}, {Name: "stretch"}},
		Services: []basilmodel.Service{
			{Name: "quote", Pool: "counter", MinAvailable: 2},
			{Name: "overnight", Pool: "stretch", Class: basilmodel.ServiceClassLong},
			{Name: "never", Pool: "empty", Class: basilmodel.ServiceClassLong},
		},
	})
	s := &transcript{cluster: c, client: c.nodes[0].client}
	s.lists()
	s.configurations()
	s.jobs()
	s.hosts()
	s.waves()
	s.members()
	s.mistakes()
	s.teams()
	goldie.New(t).Assert(t, "operators", s.normal())
}

func (s *transcript) lists() {
	s.note("what there is")
	s.awaitRow("peers where connected = true")
	s.await("both members at revision 1", func() bool { return s.rows(s.nodes[0], "members where revision = 1") == 2 })
	for _, q := range []string{"hosts", "pools", "services", "members", "peers", "configuration", "revisions", "moves", "waves", "jobs"} {
		s.query(q)
	}
}

func (s *transcript) configurations() {
	s.note("changes of the configuration")
	s.request(basilapi.OperatorRequest{Text: "set service quote min-available 3", DryRun: true})
	s.request(basilapi.OperatorRequest{ID: "keep-three", Text: "set service quote min-available 3 timeout 5s", Reason: "busy season"})
	s.request(basilapi.OperatorRequest{ID: "keep-three", Text: "set service quote min-available 3 timeout 5s"})
	s.give("add pool attic min-hosts 1")
	s.give("add service dust pool attic")
	s.give("remove service dust")
	s.give("remove pool counter")
	s.query("revisions where author = anonymous limit 2")
	s.query("diff 1 3")
	s.give("revert configuration to 1")
	s.query("diff 1 6")
	s.give("revert configuration to 99")
	document, err := json.Marshal(basilmodel.ConfigurationRecord{Pools: []basilmodel.Pool{{Name: "lone"}}, Services: []basilmodel.Service{}})
	must.NoError(s.t, err)
	s.awaitRow("revisions where revision = 6")
	s.request(basilapi.OperatorRequest{Text: "apply configuration base 6", Body: document, DryRun: true})
	s.request(basilapi.OperatorRequest{Text: "apply configuration base 2", Body: document})
	s.request(basilapi.OperatorRequest{ID: "opening", Text: "apply configuration", Body: document})
	s.request(basilapi.OperatorRequest{Text: "apply configuration", Body: []byte("{")})
}

func (s *transcript) jobs() {
	s.note("long jobs")
	for _, r := range []basilapi.SubmitRequest{{Service: "overnight"}, {Service: "never"}} {
		r.GuessMS = time.Millisecond.Milliseconds()
		a, err := s.client.Submit(s.t.Context(), r)
		must.NoError(s.t, err)
		if r.Service == "overnight" {
			s.awaitRow("jobs where state = done")
		}
		s.query("jobs limit 1")
		s.query("why job " + a.ID.String())
		if r.Service == "never" {
			s.give("cancel job " + a.ID.String())
			s.query("jobs where state = cancelled")
			s.query(`audit where action = "cancel job"`)
		}
	}
	a, err := s.client.Submit(s.t.Context(), basilapi.SubmitRequest{Service: "quote"})
	must.NoError(s.t, err)
	s.query("why job " + a.ID.String())
	s.query("why refused service never")
	s.query("why refused service overnight")
}

func (s *transcript) hosts() {
	s.note("hosts; two commands race for f1")
	s.request(basilapi.OperatorRequest{Text: "drain host f1", Reason: "noisy fan"})
	s.give("move host f1 to empty")
	s.awaitRow("moves where host = f1 and state = drained")
	s.query("moves")
	s.query("why host f1")
	s.give("set service quote min-available 3")
	s.query("why service quote")
	s.query("why refused service quote")
	s.give("drain host f2")
	s.give("maintain host f1")
	s.awaitRow("hosts where host = f1 and state = active")
	s.give("maintain host f1")
	s.give("fail host f3")
	s.give("remove host f2")
	s.awaitRow("hosts where host = f3 and state = active") // the platform still lists it
	s.give("drain host f2")
	s.give("return host f2")
	s.give("set pool counter min-hosts 4")
	s.give("move host f2 to stretch")
	s.give("set pool counter min-hosts 0")
	s.give("move host w1 to empty")
	s.awaitRow("hosts where host = w1 and pool = empty and state = active")
	s.query("pools where pool = empty")
	s.platform.RemoveHost("w1")
	s.awaitRow("hosts where host = w1 and state = failed")
	s.query("hosts where host = w1")
	s.give("remove host w1")
	s.awaitRow("pools where pool = empty and hosts = 0")
}

func (s *transcript) waves() {
	s.note("waves")
	s.give("set service quote min-available 4")
	s.request(basilapi.OperatorRequest{Text: "create wave spring pools counter in fukuoka share 0.5 racks 2 failures 1", Reason: "new image"})
	s.query("why wave spring")
	s.give("start wave spring")
	s.await("e1 knows revision 10", func() bool { return s.rows(s.nodes[0], "configuration where settings ~ \"min-available 4\"") == 1 })
	s.query("why wave spring")
	s.give("pause wave spring")
	s.give("start wave spring")
	s.give("set service quote min-available 0")
	s.give("resume wave spring")
	s.awaitRow("waves where state = done")
	s.query("waves")
	s.give("create wave summer")
	s.give("abort wave summer")
}

func (s *transcript) members() {
	s.note("an entry host is lost while a move needs its word")
	s.await("both members at revision 11", func() bool { return s.rows(s.nodes[0], "members where revision = 11") == 2 })
	s.nodes[1].cutOff.Store(true)
	s.give("drain host k1")
	s.awaitRow("moves where host = k1")
	s.query("why host k1")
	s.nodes[1].stop()
	s.awaitRow("members where gone = true")
	s.awaitRow("peers where connected = false")
	s.query("members order by member desc limit 1")
	s.query("why member e2")
	s.query("why member e1")
	s.give("forget member e2")
	s.awaitRow("hosts where host = k1 and state = drained")
	s.give("forget member e9")
	s.query("audit where operator = anonymous and action = drain order by sequence limit 2")
	s.query("audit where action != register limit 1")
}

func (s *transcript) mistakes() {
	s.note("mistakes")
	for _, q := range []string{
		"hots", "hosts where stat = active", "hosts limit many", "hosts where", "why hst f1", "why host f9", "why job x", "why wave autumn",
		"why service qoute", "why member e9", "why refused host f1", "diff 1 99",
	} {
		s.query(q)
	}
	for _, g := range []string{"drian host f1", "drain host f9", "move host f1 to nowhere", "move host f1 to counter", "set service quote min 3", "cancel job x", "start wave autumn"} {
		s.give(g)
	}
	s.request(basilapi.OperatorRequest{Text: "drain host f1", DryRun: true})
	s.request(basilapi.OperatorRequest{ID: "keep-three", Text: "drain host f1"})
}

func (s *transcript) teams() {
	s.note("the first team closes the door to callers without a token")
	sum := sha256.Sum256([]byte("a token"))
	s.give("add team keepers operator yes token-hash " + hex.EncodeToString(sum[:]))
	s.await("the team", func() bool { return s.rows(s.nodes[0], "hosts") == -1 })
	s.query("hosts")
	s.client = basilclient.NewClient(basilclient.Options{Addresses: []string{"http://" + s.nodes[0].http}, Token: "a token"})
	s.give("set team keepers rate 50 burst 100")
	s.awaitRow("configuration where kind = team and settings ~ 100")
	s.query("configuration where kind = team")
	s.query("revisions limit 1")
	s.give("remove team keepers")
}
