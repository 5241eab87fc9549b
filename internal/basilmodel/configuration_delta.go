package basilmodel

import (
	"cmp"
	"slices"
)

// ConfigurationDelta is what one revision changes; pools, services and teams are known by name.
type ConfigurationDelta struct {
	Revision        int64     `json:"revision"`
	Author          string    `json:"author"`
	Reason          string    `json:"reason"`
	Pools           []Pool    `json:"pools,omitempty"` // added or changed
	RemovedPools    []string  `json:"removed_pools,omitempty"`
	Services        []Service `json:"services,omitempty"`
	RemovedServices []string  `json:"removed_services,omitempty"`
	Teams           []Team    `json:"teams,omitempty"`
	RemovedTeams    []string  `json:"removed_teams,omitempty"`
}

func poolName(p Pool) string { return p.Name }

func serviceName(s Service) string { return s.Name }

func teamName(t Team) string { return t.Name }

// Canonical returns the record with its parts in the order of their names.
func (r ConfigurationRecord) Canonical() ConfigurationRecord {
	r.Pools = sorted(r.Pools, poolName)
	r.Services = sorted(r.Services, serviceName)
	r.Teams = sorted(r.Teams, teamName)
	return r
}

// Delta returns what the next revision changes of this one.
func (c Configuration) Delta(next Configuration) ConfigurationDelta {
	a, b := c.record, next.record
	d := ConfigurationDelta{Revision: b.Revision, Author: b.Author, Reason: b.Reason}
	d.Pools, d.RemovedPools = changes(a.Pools, b.Pools, poolName)
	d.Services, d.RemovedServices = changes(a.Services, b.Services, serviceName)
	d.Teams, d.RemovedTeams = changes(a.Teams, b.Teams, teamName)
	return d
}

// Apply returns the revision that the delta makes of this one, or false when it follows another revision.
func (c Configuration) Apply(d ConfigurationDelta) (Configuration, bool) {
	if d.Revision != c.record.Revision+1 {
		return c, false
	}
	return NewConfiguration(ConfigurationRecord{
		Revision: d.Revision, Author: d.Author, Reason: d.Reason,
		Pools:    changed(c.record.Pools, d.Pools, d.RemovedPools, poolName),
		Services: changed(c.record.Services, d.Services, d.RemovedServices, serviceName),
		Teams:    changed(c.record.Teams, d.Teams, d.RemovedTeams, teamName),
	}), true
}

// Empty tells whether the revision changes nothing.
func (d ConfigurationDelta) Empty() bool {
	return len(d.Pools)+len(d.Services)+len(d.Teams)+
		len(d.RemovedPools)+len(d.RemovedServices)+len(d.RemovedTeams) == 0
}

func sorted[T any](all []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(all), func(a, b T) int { return cmp.Compare(name(a), name(b)) })
}

func index[T any](all []T, name func(T) string) map[string]T {
	byName := make(map[string]T, len(all))
	for _, x := range all {
		byName[name(x)] = x
	}
	return byName
}

// changes returns what is new or other in b, and the names that are in a only.
func changes[T comparable](a, b []T, name func(T) string) (put []T, removed []string) {
	before := index(a, name)
	after := index(b, name)
	for _, x := range b {
		if old, ok := before[name(x)]; !ok || old != x {
			put = append(put, x)
		}
	}
	for _, x := range a {
		if _, ok := after[name(x)]; !ok {
			removed = append(removed, name(x))
		}
	}
	return put, removed
}

// changed returns a copy with the changes made, in the order of the names.
func changed[T any](all, put []T, removed []string, name func(T) string) []T {
	if len(put) == 0 && len(removed) == 0 {
		return all
	}
	replaced := index(put, name)
	kept := make([]T, 0, len(all)+len(put))
	for _, x := range all {
		if _, ok := replaced[name(x)]; !ok && !slices.Contains(removed, name(x)) {
			kept = append(kept, x)
		}
	}
	return sorted(append(kept, put...), name)
}
