package basilcapacity

// EvacuationRequest requests that a pool evacuate backend servers. Each is stored with the serial number that first requested it.
type EvacuationRequest struct {
	Epoch    int64            `json:"epoch,omitempty"` // of the owner of the fleet that wrote it; releases before 2026-12 store none
	Serial   int64            `json:"serial"`
	Backends map[string]int64 `json:"backends,omitempty"`
	Due      []string         `json:"due,omitempty"`  // backend servers whose hosts are due for maintenance
	Gone     map[string]int64 `json:"gone,omitempty"` // backend servers whose hosts were moved or sent to maintenance, with the time (Unix milliseconds)
}
