package basilcapacity

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	rowBytes   = 65536 // of a value in the users' store
	poolHosts  = 700   // of the largest pool that one owner is to carry: 13,000 hosts in 23 pools are 565
	fleetHosts = 13000 // of the target
)

func size(t *testing.T, v any) int {
	body, err := json.Marshal(v)
	must.NoError(t, err)
	return len(body)
}

// TestRowsThatGrowWithHostsFit bounds the rows whose size grows with a pool's hosts, all of them asked for, idle and due, and
// prints their bytes an item.
func TestRowsThatGrowWithHostsFit(t *testing.T) {
	ids := make([]string, poolHosts)
	serials := make(map[string]int64, poolHosts)
	for n := range ids {
		ids[n] = fmt.Sprintf("ruho%08x", n) // as long as the users' ids
		serials[ids[n]] = int64(100000 + n)
	}
	gone := make(map[string]int64)
	for n := range 300 { // at the highest rate of orders for as long as they are kept
		gone[ids[n]] = 1790000000000
	}
	ask := Ask{Serial: 100000, Backends: serials, Due: ids, Gone: gone}
	answer := Pool{Serial: 100000, Empty: ids, Load: Load{Idle: ids, Slow: ids}}
	t.Logf("ask %d, answer %d bytes for %d hosts", size(t, ask), size(t, answer), poolHosts)
	must.Less(t, rowBytes, size(t, ask))
	must.Less(t, rowBytes, size(t, answer))
}

// TestRecordOfAWaveFits bounds the row that lasts of a wave of half of the target's hosts, however many of them are done.
func TestRecordOfAWaveFits(t *testing.T) {
	for done := 0; done <= fleetHosts/2; done += 500 {
		w := &wave{members: make(map[string]bool), done: make(map[string]bool)}
		for n := range fleetHosts / 2 {
			id := fmt.Sprintf("mola%08x", n)
			w.Machines = append(w.Machines, id)
			w.members[id] = true
			if n < done {
				w.done[id] = true
			}
		}
		r := w.record()
		must.Less(t, rowBytes, size(t, r), must.Sprintf("%d of %d done", done, fleetHosts/2))
		for id, is := range r.doneOf(w.Machines) {
			must.Eq(t, w.done[id], is)
		}
	}
}
