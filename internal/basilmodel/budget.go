package basilmodel

import "encoding/json"

// Outage is one host that counts against a budget, and why.
type Outage struct {
	Host  string   `json:"host"`
	Cause OutCause `json:"cause"`
}

// BudgetRecord is the wire form of a Budget.
type BudgetRecord struct {
	Service      string   `json:"service"`
	Pool         string   `json:"pool"`
	MinAvailable int      `json:"min_available"`
	Hosts        int      `json:"hosts"` // that belong to the pool
	Out          []Outage `json:"out,omitempty"`
}

// Budget is the availability of a service: what it must keep and what counts against it.
type Budget struct{ record BudgetRecord }

// NewBudget returns the budget that the record describes.
func NewBudget(r BudgetRecord) Budget { return Budget{record: r} }

// Record returns the wire form.
func (b Budget) Record() BudgetRecord { return b.record }

// Service returns the service that the budget belongs to.
func (b Budget) Service() string { return b.record.Service }

// Pool returns the pool that the service runs in.
func (b Budget) Pool() string { return b.record.Pool }

// MinAvailable returns how many hosts the service must keep in service.
func (b Budget) MinAvailable() int { return b.record.MinAvailable }

// Hosts returns how many hosts belong to the pool.
func (b Budget) Hosts() int { return b.record.Hosts }

// Out returns the hosts that now count against the budget; the slice is shared.
func (b Budget) Out() []Outage { return b.record.Out }

// Available returns how many hosts are in service.
func (b Budget) Available() int { return b.record.Hosts - len(b.record.Out) }

// Spare returns how many more hosts may be taken out; it is negative when the budget is broken.
func (b Budget) Spare() int { return b.Available() - b.record.MinAvailable }

// Whole tells whether the budget holds.
func (b Budget) Whole() bool { return b.Spare() >= 0 }

// MarshalJSON encodes the wire form.
func (b Budget) MarshalJSON() ([]byte, error) { return json.Marshal(b.record) }

// UnmarshalJSON decodes the wire form.
func (b *Budget) UnmarshalJSON(d []byte) error { return json.Unmarshal(d, &b.record) }
