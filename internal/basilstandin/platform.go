package basilstandin

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/internal/basilplatform/basiltrace"
)

const (
	maxHostSnapshots = 4096
	backendTimeout   = 2 * time.Second
)

// PlatformOptions sets up a Platform; the zero value works.
type PlatformOptions struct {
	TableName  string        // the only one served; "" serves any
	RebootTime time.Duration // of each host
	Client     *http.Client  // towards backend servers; nil is one of its own
}

// PlatformFaults switches the faults of a Platform; the zero value has none.
type PlatformFaults struct {
	TableDown    bool  `json:"table_down"`          // every call of the table fails without effect
	TableDelayMS int64 `json:"table_delay_ms"`      // before each call of the table takes effect
	LoseAnswers  bool  `json:"lose_answers"`        // writes take effect, their answers are lost
	LoseWrites   bool  `json:"lose_writes"`         // writes vanish without an answer
	Conflicts    bool  `json:"conflicts"`           // transactions meet another in flight and have no effect
	LateByMS     int64 `json:"late_by_ms"`          // writes get no answer and take effect after this time
	HostListLagS int64 `json:"host_list_lag_s"`     // seconds that the host list is behind
	HostListDown bool  `json:"host_list_down"`      // the host list is away
	Refuse       bool  `json:"host_control_refuse"` // host control refuses every reboot
}

type hostSnapshot struct {
	at    time.Time
	hosts []basilplatform.ListedHost
}

type reboot struct {
	epoch int64
	ends  time.Time
}

// Platform is a stand-in for the platform: table service, host list and host control.
type Platform struct {
	options PlatformOptions
	table   Table

	mutex     sync.Mutex
	snapshots []hostSnapshot // oldest first, never changed
	reboots   map[string]reboot
	faults    PlatformFaults
}

// NewPlatform returns a platform without hosts.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Client == nil {
		o.Client = basiltrace.NewClient()
	}
	return &Platform{options: o, reboots: make(map[string]reboot)}
}

// Table returns the table that the platform serves.
func (p *Platform) Table() *Table { return &p.table }

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = f
	p.table.SetFaults(TableFaults{
		Down: f.TableDown, LoseAnswers: f.LoseAnswers, LoseWrites: f.LoseWrites, Conflicts: f.Conflicts,
		Delay:  time.Duration(f.TableDelayMS) * time.Millisecond,
		LateBy: time.Duration(f.LateByMS) * time.Millisecond,
	})
}

// Faults returns the faults in force.
func (p *Platform) Faults() PlatformFaults {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.faults
}

// SetHosts replaces the hosts.
func (p *Platform) SetHosts(hosts []basilplatform.ListedHost) {
	p.change(func([]basilplatform.ListedHost) []basilplatform.ListedHost { return slices.Clone(hosts) })
}

// AddHost adds a host, or replaces the one with its id.
func (p *Platform) AddHost(h basilplatform.ListedHost) {
	p.change(func(hosts []basilplatform.ListedHost) []basilplatform.ListedHost {
		return append(without(hosts, h.ID), h)
	})
}

// RemoveHost removes a host, as when it has failed.
func (p *Platform) RemoveHost(id string) {
	p.change(func(hosts []basilplatform.ListedHost) []basilplatform.ListedHost { return without(hosts, id) })
}

// SetLeaving marks a host as leaving, or not.
func (p *Platform) SetLeaving(id string, leaving bool) {
	p.change(func(hosts []basilplatform.ListedHost) []basilplatform.ListedHost {
		for n := range hosts {
			if hosts[n].ID == id {
				hosts[n].Leaving = leaving
			}
		}
		return hosts
	})
}

func without(hosts []basilplatform.ListedHost, id string) []basilplatform.ListedHost {
	return slices.DeleteFunc(hosts, func(h basilplatform.ListedHost) bool { return h.ID == id })
}

// change appends the snapshot that f makes of a copy of the newest one.
func (p *Platform) change(f func([]basilplatform.ListedHost) []basilplatform.ListedHost) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	next := hostSnapshot{at: time.Now(), hosts: f(slices.Clone(p.newest()))}
	p.snapshots = append(p.snapshots, next)
	if len(p.snapshots) > maxHostSnapshots {
		p.snapshots = slices.Clone(p.snapshots[maxHostSnapshots/2:])
	}
}

// newest returns the hosts as they are; the caller holds the mutex.
func (p *Platform) newest() []basilplatform.ListedHost {
	if len(p.snapshots) == 0 {
		return nil
	}
	return p.snapshots[len(p.snapshots)-1].hosts
}

// listed returns the hosts as the lagging list has them, and false when it is away.
func (p *Platform) listed() ([]basilplatform.ListedHost, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	seen := time.Now().Add(-time.Duration(p.faults.HostListLagS) * time.Second)
	hosts := []basilplatform.ListedHost{}
	for _, s := range p.snapshots {
		if s.at.After(seen) {
			break
		}
		hosts = s.hosts
	}
	return hosts, !p.faults.HostListDown
}

// host returns the host as it is.
func (p *Platform) host(id string) (basilplatform.ListedHost, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, h := range p.newest() {
		if h.ID == id {
			return h, true
		}
	}
	return basilplatform.ListedHost{}, false
}

// Handler serves the table service, the host list, host control and the fault switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /{$}", dynamoHandler{table: &p.table, name: p.options.TableName})
	mux.HandleFunc("GET "+basilfleet.PathHosts, p.serveHosts)
	mux.HandleFunc("GET "+basilfleet.PathHosts+"/{id}"+basilfleet.PathDrained, p.serveDrained)
	mux.HandleFunc("POST "+basilfleet.PathHosts+"/{id}"+basilfleet.PathReboot, p.serveReboot)
	mux.HandleFunc("GET "+basilfleet.PathHosts+"/{id}"+basilfleet.PathRebooted, p.serveRebooted)
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, http.StatusOK, p.Faults())
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if readJSON(w, r, &f) {
			p.SetFaults(f)
			answerJSON(w, http.StatusOK, f)
		}
	})
	return mux
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	hosts, ok := p.listed()
	if !ok {
		answerUnavailable(w, "host list is down")
		return
	}
	answerJSON(w, http.StatusOK, basilfleet.HostsAnswer{Hosts: hosts})
}
