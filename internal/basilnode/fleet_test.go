package basilnode_test

import (
	"bufio"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// metric returns what an entry host's metrics say.
func (c *cluster) metric(name, line string) (value int) {
	w := httptest.NewRecorder()
	c.hosts[name].node.Metrics().ServeHTTP(w, nil)
	for s := bufio.NewScanner(w.Body); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "basilstage_"+line+" "); ok {
			_, err := fmt.Sscan(rest, &value)
			must.NoError(c.t, err)
		}
	}
	return value
}

// TestFleetTakesInListWhileEventsPour decides on many events at once: with a decision for each, lists of hosts and
// answers wait behind decisions that are out of date.
func TestFleetTakesInListWhileEventsPour(t *testing.T) {
	run(t, 1, 4, constant(time.Second), func(c *cluster) {
		before := c.metric("entry-1", "fleet_step_ms_count")
		for range 2000 {
			must.True(t, c.hosts["entry-1"].node.SendFleet(func(time.Time) {}))
			time.Sleep(time.Millisecond)
		}
		must.Between(t, 2000/250, c.metric("entry-1", "fleet_step_ms_count")-before, 2000/50)
	})
}
