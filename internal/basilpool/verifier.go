package basilpool

import (
	"fmt"
	"maps"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

// ErrTrailViolated reports that an entry of the trail violates an invariant.
type ErrTrailViolated struct {
	Sequence int64
	Subject  string
	Rule     string
}

func (e ErrTrailViolated) Error() string {
	return fmt.Sprintf("trail breaks a rule [sequence: %d, subject: %s, rule: %s]", e.Sequence, e.Subject, e.Rule)
}

// IsErrTrailViolated reports whether the error is an ErrTrailViolated.
func IsErrTrailViolated(err error) bool { return errors.As(err, new(ErrTrailViolated)) }

// Verifier checks from the trail alone that each host was always in exactly one pool, and that no planned change ever left
// a service with too few hosts.
//
// It recounts from the entries and shares no code with the commands. The zero value is ready to use.
type Verifier struct {
	sequence      int64
	configuration basilmodel.Configuration
	hosts         map[string]basilmodel.Host
	epochs        map[string]int64 // including removed hosts
}

// Hosts returns the hosts by ID, as derived from the trail.
func (v *Verifier) Hosts() map[string]basilmodel.Host { return maps.Clone(v.hosts) }

// Sequence returns the sequence of the last checked entry.
func (v *Verifier) Sequence() int64 { return v.sequence }

// Add checks the next entry; it fails with ErrTrailViolated.
func (v *Verifier) Add(e basilaudit.Entry) error {
	r := e.Record()
	if r.Sequence != v.sequence+1 {
		return violation(r, fmt.Sprintf("entries must be numbered without gaps, expected %d", v.sequence+1))
	}
	v.sequence = r.Sequence
	if r.Configuration != nil {
		v.configuration, _ = v.configuration.Apply(*r.Configuration)
	}
	if len(r.Hosts) == 0 && len(r.Before) == 0 {
		return nil
	}
	before, after, rule := hostPair(r)
	if rule == "" {
		rule = v.checkHost(before, after)
	}
	if rule != "" {
		return violation(r, rule)
	}
	v.update(before, after)
	if r.Action == ActionFail.String() || !before.InService() || after.InService() && after.Pool() == before.Pool() {
		return nil
	}
	return v.checkAvailable(r, before.Pool())
}

func violation(r basilaudit.EntryRecord, rule string) error {
	return errors.WithStack(ErrTrailViolated{Sequence: r.Sequence, Subject: r.Subject, Rule: rule})
}

func hostPair(r basilaudit.EntryRecord) (before, after basilmodel.Host, rule string) {
	if len(r.Hosts) > 1 || len(r.Before) > 1 {
		return before, after, "an entry must change only one host"
	}
	if len(r.Before) == 1 {
		before = r.Before[0]
	}
	if len(r.Hosts) == 1 {
		after = r.Hosts[0]
	}
	return before, after, ""
}

func (v *Verifier) checkHost(before, after basilmodel.Host) string {
	id := before.ID()
	if id == "" {
		id = after.ID()
	}
	known, ok := v.hosts[id]
	switch {
	case ok != (before.ID() != ""):
		return "a change must include the former state exactly if the host is known"
	case ok && known.Record() != before.Record():
		return "a change must start from the host's last state"
	case after.ID() == "":
		return ""
	case after.ID() != id:
		return "a change must keep the host's id"
	case after.Epoch() <= v.epochs[id]:
		return "epochs must increase"
	case after.Pool() == "":
		return "a host must be in a pool"
	case ok && after.Pool() != before.Pool() && !completesMove(before, after):
		return "a host may change pools only when it is drained and enters its target pool"
	}
	return ""
}

func completesMove(before, after basilmodel.Host) bool {
	return before.State() == basilmodel.HostStateDrained && before.Target() == after.Pool() && after.InService()
}

func (v *Verifier) update(before, after basilmodel.Host) {
	if v.hosts == nil {
		v.hosts = make(map[string]basilmodel.Host)
		v.epochs = make(map[string]int64)
	}
	if after.ID() == "" {
		delete(v.hosts, before.ID())
		return
	}
	v.hosts[after.ID()] = after
	v.epochs[after.ID()] = after.Epoch()
}

func (v *Verifier) checkAvailable(r basilaudit.EntryRecord, pool string) error {
	available := 0
	for _, h := range v.hosts {
		if h.Pool() == pool && h.State() == basilmodel.HostStateActive {
			available++
		}
	}
	for _, s := range v.configuration.Services() {
		if s.Pool == pool && available < s.MinAvailable {
			return violation(r, fmt.Sprintf("service %s requires %d available hosts, %d are left", s.Name, s.MinAvailable, available))
		}
	}
	return nil
}
