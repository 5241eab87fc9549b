package basilcapacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestReportOnRequestOfPredecessorDoesNotMarkHostEmpty checks that after a takeover no host counts as empty because of a report that the pool may
// have made on a request of the predecessor that this owner doesn't know.
func TestReportOnRequestOfPredecessorDoesNotMarkHostEmpty(t *testing.T) {
	w := newWorld(t)
	w.SetRequest("a", EvacuationRequest{Serial: 7, Backends: map[string]int64{"i-m00": 7}})
	asked := w.TakeOver(3, []string{"a", "b"})
	must.MapLen(t, 2, asked)
	must.MapEmpty(t, asked["b"].Backends)
	w.addHosts("a", 4)
	for _, serial := range []int64{7, 8, 20, 2<<epochSerialBits + 9} { // 8 and above: of requests that were not loaded
		w.SetReport("a", PoolReport{Serial: serial, Empty: []string{"i-m00"}, Load: Load{Used: 60000}}, w.now)
		must.SliceEmpty(t, w.decide(0).Orders)
	}
	w.SetReport("a", PoolReport{Serial: asked["a"].Serial, Empty: []string{"i-m00"}, Load: Load{Used: 60000}}, w.now)
	must.Len(t, 1, w.decide(0).Orders)
}

// TestTakeOverIsRepeatable checks that a second takeover in one epoch, or in an earlier one, still takes a later serial number.
func TestTakeOverIsRepeatable(t *testing.T) {
	w := newWorld(t)
	last := int64(0)
	for _, epoch := range []int64{4, 4, 3, 5} {
		next := w.TakeOver(epoch, []string{"a"})["a"].Serial
		must.Greater(t, last, next)
		last = next
	}
}
