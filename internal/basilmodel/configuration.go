package basilmodel

import "encoding/json"

// Pool is a declared group of hosts.
type Pool struct {
	Name     string `json:"name" yaml:"name" validate:"required,hostname_rfc1123"`
	Spare    bool   `json:"spare,omitempty" yaml:"spare"`                          // holds the shared buffer
	MinHosts int    `json:"min_hosts,omitempty" yaml:"min_hosts" validate:"gte=0"` // moves leave at least this many
}

// Service is a declared service and the availability that it must keep.
type Service struct {
	Name          string       `json:"name" yaml:"name" validate:"required,hostname_rfc1123"`
	Pool          string       `json:"pool" yaml:"pool" validate:"required"`
	Class         ServiceClass `json:"class" yaml:"class"`
	MinAvailable  int          `json:"min_available" yaml:"min_available" validate:"gte=0"` // hosts in service
	TimeoutMillis int64        `json:"timeout_ms,omitempty" yaml:"timeout_ms" validate:"gte=0"`
}

// Team is a customer's group of callers with its quota.
type Team struct {
	Name          string  `json:"name" yaml:"name" validate:"required,hostname_rfc1123"`
	TokenHash     string  `json:"token_hash,omitempty" yaml:"token_hash"` // hex of SHA-256
	Operator      bool    `json:"operator,omitempty" yaml:"operator"`     // may use queries and commands
	RatePerSecond float64 `json:"rate_per_second,omitempty" yaml:"rate_per_second" validate:"gte=0"`
	Burst         int     `json:"burst,omitempty" yaml:"burst" validate:"gte=0"`
}

// ConfigurationRecord is the stored form of a Configuration.
type ConfigurationRecord struct {
	Revision int64     `json:"revision" yaml:"-"`
	Author   string    `json:"author" yaml:"-"`
	Reason   string    `json:"reason" yaml:"-"`
	Pools    []Pool    `json:"pools" yaml:"pools" validate:"required,dive"`
	Services []Service `json:"services" yaml:"services" validate:"required,dive"`
	Teams    []Team    `json:"teams,omitempty" yaml:"teams" validate:"dive"`
}

// Configuration is one immutable revision of what operators declare.
type Configuration struct{ record ConfigurationRecord }

// NewConfiguration returns the configuration that the record describes.
func NewConfiguration(r ConfigurationRecord) Configuration { return Configuration{record: r} }

// Record returns the stored form; its slices are shared and must not be changed.
func (c Configuration) Record() ConfigurationRecord { return c.record }

// Revision returns the revision, which is 0 before the first one.
func (c Configuration) Revision() int64 { return c.record.Revision }

// Author returns who applied the revision.
func (c Configuration) Author() string { return c.record.Author }

// Reason returns why the revision was applied.
func (c Configuration) Reason() string { return c.record.Reason }

// Pools returns the declared pools.
func (c Configuration) Pools() []Pool { return c.record.Pools }

// Services returns the declared services.
func (c Configuration) Services() []Service { return c.record.Services }

// Teams returns the declared teams.
func (c Configuration) Teams() []Team { return c.record.Teams }

// Service returns the service of that name and whether it is declared.
func (c Configuration) Service(name string) (Service, bool) {
	for _, s := range c.record.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Pool returns the pool of that name and whether it is declared.
func (c Configuration) Pool(name string) (Pool, bool) {
	for _, p := range c.record.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// ServicesIn returns the services that run in the pool.
func (c Configuration) ServicesIn(pool string) []Service {
	var found []Service
	for _, s := range c.record.Services {
		if s.Pool == pool {
			found = append(found, s)
		}
	}
	return found
}

// MarshalJSON encodes the stored form.
func (c Configuration) MarshalJSON() ([]byte, error) { return json.Marshal(c.record) }

// UnmarshalJSON decodes the stored form.
func (c *Configuration) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &c.record) }
