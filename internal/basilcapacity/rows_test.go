package basilcapacity

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

const (
	maxRowBytes = 65536 // maximum size of a value in the users' store
	poolHosts   = 700   // largest pool supported per owner; 13,000 hosts in 23 pools make 565
	fleetHosts  = 13000 // target size of the fleet
)

func encodedSize(t *testing.T, v any) int {
	body, err := json.Marshal(v)
	must.NoError(t, err)
	return len(body)
}

// TestPoolRowsFit checks that the rows whose size grows with a pool's hosts fit into the store when all hosts
// are requested, idle and due, and logs their sizes.
func TestPoolRowsFit(t *testing.T) {
	ids := make([]string, poolHosts)
	serials := make(map[string]int64, poolHosts)
	for n := range ids {
		ids[n] = fmt.Sprintf("ruho%08x", n) // as long as the users' IDs
		serials[ids[n]] = 1000<<epochSerialBits + int64(n)
	}
	gone := make(map[string]int64)
	for n := range 300 { // the highest order rate for as long as entries are kept
		gone[ids[n]] = 1790000000000
	}
	request := EvacuationRequest{Epoch: 1000, Serial: 1000 << epochSerialBits, Backends: serials, Due: ids, Gone: gone}
	lacking := make([]HostNeed, 8) // the most that a pool reports, with the longest labels
	for n := range lacking {
		lacking[n] = HostNeed{Label: strings.Repeat("x", 256), Resources: basilwork.Resources{CPU: 128000, Memory: 1 << 20, GPU: 16}, Hosts: poolHosts, Lasting: poolHosts}
	}
	answer := PoolReport{Serial: 1000 << epochSerialBits, Empty: ids, Load: Load{Idle: ids, Slow: ids, LastingHosts: poolHosts, Listed: poolHosts, Kept: poolHosts, Lacking: lacking}}
	t.Logf("request %d bytes, report %d bytes for %d hosts", encodedSize(t, request), encodedSize(t, answer), poolHosts)
	must.Less(t, maxRowBytes, encodedSize(t, request))
	must.Less(t, maxRowBytes, encodedSize(t, answer))
}

// TestWaveRecordFitsRow checks that the record of a wave of half of the target fleet fits into the store and decodes to the
// same set, whatever the number of finished hosts.
func TestWaveRecordFitsRow(t *testing.T) {
	for done := 0; done <= fleetHosts/2; done += 500 {
		w := &wave{members: make(map[string]bool), begun: make(map[string]bool)}
		for n := range fleetHosts / 2 {
			id := fmt.Sprintf("mola%08x", n)
			w.Machines = append(w.Machines, id)
			w.members[id] = true
			if n < done {
				w.begun[id] = true
			}
		}
		r := w.record()
		must.Less(t, maxRowBytes, encodedSize(t, r), must.Sprintf("%d of %d done", done, fleetHosts/2))
		for id, is := range r.doneHosts(w.Wave) {
			must.Eq(t, w.begun[id], is)
		}
	}
}
