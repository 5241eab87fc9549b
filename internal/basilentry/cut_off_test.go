package basilentry_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// passesWaited is how many reads of the host list pass before a step counts as held back.
const passesWaited = 24

func counterConfiguration() basilmodel.ConfigurationRecord {
	return basilmodel.ConfigurationRecord{
		Pools:    []basilmodel.Pool{{Name: "counter", Spare: true}, {Name: "divers"}},
		Services: []basilmodel.Service{{Name: "quote", Pool: "counter", MinAvailable: 1}},
	}
}

// TestCutOffDataCentreKeepsItsHost asks a host of a cut-off data centre away: the
// move waits, the data centre goes on using the host, and the move ends once it is back.
func TestCutOffDataCentreKeepsItsHost(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 81, "fukuoka", "kumamoto")
	c.addHost("f1", "fukuoka", "counter", basilstandin.BackendOptions{})
	c.addHost("k1", "kumamoto", "counter", basilstandin.BackendOptions{})
	c.open(counterConfiguration())
	e1, e2 := c.nodes[0], c.nodes[1]

	e2.cutOff.Store(true)
	c.command(e1, "move host k1 to divers")
	c.await("e1 knows", func() bool { return c.rows(e1, "hosts where host = k1 and state = leaving") == 1 })
	began := c.lists.Load()
	c.await("passes", func() bool { return c.lists.Load() >= began+passesWaited })
	must.EqOp(t, 1, c.rows(e1, "hosts where host = k1 and state = leaving"), must.Sprint("the move must wait"))
	before := len(c.backends["k1"].Jobs())
	a, err := e2.client.Submit(t.Context(), basilapi.SubmitRequest{Service: "quote", Payload: []byte("in the chair")})
	must.NoError(t, err)
	must.EqOp(t, "answer to in the chair", string(a.Answer))
	must.EqOp(t, before+1, len(c.backends["k1"].Jobs()), must.Sprint("it uses its own host"))
	must.EqOp(t, 0, len(c.backends["f1"].Jobs()), must.Sprint("and no host that it has no fresh view of"))

	e2.cutOff.Store(false)
	c.await("the move", func() bool { return c.rows(e2, "hosts where host = k1 and pool = divers and state = active") == 1 })
}

// TestEntryHostCatchesUpFromItsPeer accepts configurations that one entry host can hear
// of only through its peer: the first while the peer is linked, the others from the peer's replacement.
func TestEntryHostCatchesUpFromItsPeer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 82, "fukuoka", "fukuoka")
	c.addHost("f1", "fukuoka", "counter", basilstandin.BackendOptions{})
	c.open(counterConfiguration())
	e1, e2 := c.nodes[0], c.nodes[1]
	e2.cutOff.Store(true)
	c.change(e1, 1)
	c.await("revision 2 at e2", func() bool { return e2.revision(t) == 2 })
	e2.alone.Store(true)
	c.await("the cut", func() bool { return c.rows(e1, "peers where connected = false") == 1 })
	c.change(e1, 2)
	c.change(e1, 3)
	e1.stop()
	c.start(e1)
	c.await("the replacement", func() bool { return c.rows(e1, "hosts") == 1 })
	e2.alone.Store(false)
	c.await("revision 4 at e2", func() bool { return e2.revision(t) == 4 })
}

// change accepts a revision on top of the base.
func (c *cluster) change(n *node, base int) {
	c.t.Helper()
	r := counterConfiguration()
	r.Services[0].TimeoutMillis = int64(base)
	document, err := json.Marshal(r)
	must.NoError(c.t, err)
	text := "apply configuration base " + strconv.Itoa(base)
	_, err = n.client.Command(c.t.Context(), basilapi.OperatorRequest{Text: text, Body: document})
	must.NoError(c.t, err)
}

// revision returns the configuration revision that the entry host says is in force.
func (n *node) revision(t *testing.T) int {
	t.Helper()
	r, err := http.Get("http://" + n.http + "/v1/jobs/" + basilapi.NewJobID("x", ulid.Make()).String())
	must.NoError(t, err)
	_ = r.Body.Close()
	revision, err := strconv.Atoi(r.Header.Get(basilapi.HeaderRevision))
	must.NoError(t, err)
	return revision
}

// TestLeavingBackendServerIsLearntFromEachSide learns it from the list, from the backend server itself, and from a peer.
func TestLeavingBackendServerIsLearntFromEachSide(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 83, "fukuoka", "fukuoka")
	for _, id := range []string{"f1", "f2", "f3"} {
		c.addHost(id, "fukuoka", "counter", basilstandin.BackendOptions{})
	}
	c.open(counterConfiguration())
	e1, e2 := c.nodes[0], c.nodes[1]

	c.platform.SetLeaving("f1", true)
	for _, n := range c.nodes {
		c.await(n.id+" hears it from the list", func() bool { return c.why(n, "f1", "seen leaving") || c.why(n, "f1", "failed") })
	}

	e2.cutOff.Store(true)
	c.backends["f2"].Leave()
	c.await("e1 hears it from f2 itself", func() bool {
		_, err := e1.client.Submit(t.Context(), basilapi.SubmitRequest{Service: "quote"})
		return err == nil && c.why(e1, "f2", "seen leaving")
	})
	c.await("e2 hears it from e1", func() bool { return c.why(e2, "f2", "seen leaving") })
	must.EqOp(t, 0, len(c.backends["f2"].Jobs()), must.Sprint("f2 started nothing after it left"))
}

// why tells whether the explanation of the host holds the words.
func (c *cluster) why(n *node, host, words string) bool {
	a, err := n.client.Query(c.t.Context(), "why host "+host)
	if err != nil {
		return false
	}
	for _, r := range a.Rows {
		if strings.Contains(r[0], words) {
			return true
		}
	}
	return false
}
