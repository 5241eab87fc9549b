package basilview

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

func newHost(id, pool string, epoch int64, hostState basilmodel.HostState) basilmodel.Host {
	return basilmodel.NewHost(basilmodel.HostRecord{ID: id, DataCentre: "fukuoka", Pool: pool, Epoch: epoch, State: hostState})
}

func newEntry(sequence int64, hosts ...basilmodel.Host) basilaudit.Entry {
	return basilaudit.NewEntry(basilaudit.EntryRecord{Sequence: sequence, Hosts: hosts})
}

func newLoadedState(sequence int64, hosts ...basilmodel.Host) *state {
	s := newState("fukuoka")
	snapshotEvent{Snapshot{Sequence: sequence, Hosts: hosts}}.apply(s, time.Time{})
	return s
}

func TestMissingEntryIsRecordedAsGap(t *testing.T) {
	s := newLoadedState(1, newHost("h1", "counter", 1, basilmodel.HostStateActive))
	entriesEvent{[]basilaudit.Entry{newEntry(3, newHost("h1", "divers", 3, basilmodel.HostStateActive))}}.apply(s, time.Time{})
	must.True(t, s.gap)
	must.EqOp(t, 1, s.sequence)
	start := time.Now()
	headEvent{readStart: start}.apply(s, start)
	must.True(t, s.storeReadAt.IsZero(), must.Sprint("view with a missing entry must not become fresh"))
}

func TestAppliedWaitsForEntryOfHostReadAheadOfTrail(t *testing.T) {
	now := time.Now()
	ahead := basilmodel.NewHost(basilmodel.HostRecord{
		ID: "h1", DataCentre: "fukuoka", Pool: "counter", Epoch: 4, State: basilmodel.HostStateLeaving, Sequence: 7,
	})
	s := newLoadedState(5, ahead)
	s.members = []Member{NewMember(MemberRecord{DataCentre: "fukuoka", Applied: 6})}
	h, _ := s.view(now).Host("h1")
	must.False(t, s.view(now).Applied(h), must.Sprint("member has not applied entry 7, which changed the host"))
	s.members = []Member{NewMember(MemberRecord{DataCentre: "fukuoka", Applied: 7})}
	must.True(t, s.view(now).Applied(h))
	must.False(t, s.view(now).Applied(newHost("h1", "counter", 5, basilmodel.HostStateDrained)), must.Sprint("the view has another epoch of the host"))
}

func TestRemoteHostsRequireFreshView(t *testing.T) {
	now := time.Now()
	s := newLoadedState(1, newHost("h1", "counter", 1, basilmodel.HostStateActive))
	s.storeReadAt = now
	must.Len(t, 1, s.view(now).Usable("counter", "kumamoto", now))
	later := now.Add(remoteViewAgeLimit + time.Second)
	must.Len(t, 0, s.view(later).Usable("counter", "kumamoto", later))
	must.Len(t, 1, s.view(later).Usable("counter", "fukuoka", later))
}

func TestFreezeRequiresNewHeartbeat(t *testing.T) {
	now := time.Now()
	s := newLoadedState(1)
	heartbeatEvent{}.apply(s, now)
	tickEvent{}.apply(s, now)
	must.EqOp(t, StandingMember, s.standing(now))
	resumed := now.Add(freezeLimit + time.Second)
	tickEvent{}.apply(s, resumed)
	must.EqOp(t, StandingUnconfirmed, s.standing(resumed))
	heartbeatEvent{sentAfter: resumed}.apply(s, resumed)
	must.EqOp(t, StandingMember, s.standing(resumed))
	heartbeatEvent{err: ErrFenced{Member: "e1"}}.apply(s, resumed)
	must.EqOp(t, StandingFenced, s.standing(resumed))
}

func TestRemovedHostIsDeleted(t *testing.T) {
	h := newHost("h1", "counter", 4, basilmodel.HostStateFailed)
	s := newLoadedState(1, h)
	removal := basilaudit.NewEntry(basilaudit.EntryRecord{Sequence: 2, Before: []basilmodel.Host{h}})
	entriesEvent{[]basilaudit.Entry{removal}}.apply(s, time.Time{})
	must.Len(t, 0, s.view(time.Time{}).Hosts())
}

func TestPropertyEachHostIsInOnePool(t *testing.T) {
	pools := []string{"counter", "divers", "stretch"}
	rapid.Check(t, func(t *rapid.T) {
		s := newLoadedState(0)
		newest := make(map[string]basilmodel.Host)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			h := newHost(rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"),
				rapid.SampledFrom(pools).Draw(t, "pool"),
				rapid.Int64Range(1, 9).Draw(t, "epoch"), basilmodel.HostStateActive)
			if h.Epoch() >= newest[h.ID()].Epoch() {
				newest[h.ID()] = h
			}
			entriesEvent{[]basilaudit.Entry{newEntry(s.sequence+1, h)}}.apply(s, time.Time{})
		}
		v := s.view(time.Time{})
		must.Len(t, len(newest), v.Hosts())
		for id, want := range newest {
			got, _ := v.Host(id)
			must.EqOp(t, want.Epoch(), got.Epoch())
			must.EqOp(t, want.Pool(), got.Pool())
		}
	})
}

func TestHeartbeatSentBeforeFreezeDoesNotConfirm(t *testing.T) {
	now := time.Now()
	c := NewControl(Options{Trail: basilaudit.NewTrail(nil), Publish: func(*View) {}})
	s := newLoadedState(1)
	c.stepAt(s, heartbeatEvent{sentAfter: now}, now)
	<-c.heartbeatTrigger // heartbeat triggered by loading the view
	must.EqOp(t, StandingMember, c.View().Standing())
	resumed := now.Add(freezeLimit + time.Second)
	c.stepAt(s, headEvent{readStart: now}, resumed)
	must.EqOp(t, StandingUnconfirmed, c.View().Standing(), must.Sprint("any event detects the freeze, not only a tick"))
	c.stepAt(s, heartbeatEvent{sentAfter: now.Add(time.Second)}, resumed)
	must.EqOp(t, StandingUnconfirmed, c.View().Standing(), must.Sprint("heartbeat was sent before the freeze"))
	must.EqOp(t, 1, len(c.heartbeatTrigger), must.Sprint("a new heartbeat is triggered at once"))
	c.stepAt(s, heartbeatEvent{sentAfter: resumed}, resumed)
	must.EqOp(t, StandingMember, c.View().Standing())
}
