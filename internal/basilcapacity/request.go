package basilcapacity

import "maps"

// EvacuationRequest requests that a pool evacuate backend servers. Each is stored with the serial number that first requested it.
type EvacuationRequest struct {
	Epoch    int64            `json:"epoch,omitempty"` // of the owner of the fleet that wrote it; releases before 2026-12 store none
	Serial   int64            `json:"serial"`
	Backends map[string]int64 `json:"backends,omitempty"`
	Due      []string         `json:"due,omitempty"`  // backend servers whose hosts are due for maintenance
	Gone     map[string]int64 `json:"gone,omitempty"` // backend servers whose hosts were moved or sent to maintenance, with the time (Unix milliseconds)
}

// epochSerialBits is the number of bits for the serial numbers of one epoch in those of TakeOver. At 50 requests a second, an epoch would
// have to last two years to use them up.
const epochSerialBits = 32

// TakeOver makes the requests to the pools those of the owner in the epoch, and returns them to be stored before any others.
//
// It is for a store on which a predecessor that doesn't know of its end yet may have written requests after they were loaded, and pools may
// have answered them. Serial numbers therefore go on beyond all of earlier epochs, and no host counts as empty until its pool has
// answered a request of this epoch.
func (f *Fleet) TakeOver(epoch int64, pools []string) map[string]EvacuationRequest {
	requests := make(map[string]EvacuationRequest, len(pools))
	for _, pool := range pools {
		a := f.requests[pool]
		a.Serial = max(a.Serial+1, epoch<<epochSerialBits)
		backends := make(map[string]int64, len(a.Backends))
		for id := range a.Backends {
			backends[id] = a.Serial
		}
		a.Backends = backends
		f.requests[pool] = a
		a.Backends = maps.Clone(backends)
		requests[pool] = a
	}
	return requests
}
