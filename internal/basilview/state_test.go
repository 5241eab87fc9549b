package basilview

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
)

func host(id, pool string, epoch int64, x basilmodel.HostState) basilmodel.Host {
	return basilmodel.NewHost(basilmodel.HostRecord{ID: id, DataCentre: "fukuoka", Pool: pool, Epoch: epoch, State: x})
}

func entry(sequence int64, h ...basilmodel.Host) basilaudit.Entry {
	return basilaudit.NewEntry(basilaudit.EntryRecord{Sequence: sequence, Hosts: h})
}

func loaded(sequence int64, h ...basilmodel.Host) *state {
	s := newState("fukuoka")
	snapshotEvent{Snapshot{Sequence: sequence, Hosts: h}}.apply(s, time.Time{})
	return s
}

func TestMissingEntryLeavesAGap(t *testing.T) {
	s := loaded(1, host("h1", "counter", 1, basilmodel.HostStateActive))
	entriesEvent{[]basilaudit.Entry{entry(3, host("h1", "divers", 3, basilmodel.HostStateActive))}}.apply(s, time.Time{})
	must.True(t, s.gap)
	must.EqOp(t, 1, s.sequence)
	began := time.Now()
	headEvent{at: began}.apply(s, began)
	must.True(t, s.storeSeen.IsZero(), must.Sprint("a view with a gap is not fresh"))
}

func TestAppliedWaitsForHostsReadAheadOfTheTrail(t *testing.T) {
	now := time.Now()
	ahead := basilmodel.NewHost(basilmodel.HostRecord{
		ID: "h1", DataCentre: "fukuoka", Pool: "counter", Epoch: 4, State: basilmodel.HostStateLeaving, Sequence: 7,
	})
	s := loaded(5, ahead)
	s.members = []Member{NewMember(MemberRecord{DataCentre: "fukuoka", Applied: 6})}
	h, _ := s.view(now).Host("h1")
	must.False(t, s.view(now).Applied(h), must.Sprint("the change is entry 7"))
	s.members = []Member{NewMember(MemberRecord{DataCentre: "fukuoka", Applied: 7})}
	must.True(t, s.view(now).Applied(h))
	must.False(t, s.view(now).Applied(host("h1", "counter", 5, basilmodel.HostStateDrained)), must.Sprint("another epoch"))
}

func TestRemoteHostsNeedAFreshView(t *testing.T) {
	now := time.Now()
	s := loaded(1, host("h1", "counter", 1, basilmodel.HostStateActive))
	s.storeSeen = now
	must.Len(t, 1, s.view(now).Usable("counter", "kumamoto", now))
	later := now.Add(remoteViewLimit + time.Second)
	must.Len(t, 0, s.view(later).Usable("counter", "kumamoto", later))
	must.Len(t, 1, s.view(later).Usable("counter", "fukuoka", later))
}

func TestFrozenLoopNeedsANewHeartbeat(t *testing.T) {
	now := time.Now()
	s := loaded(1)
	beatEvent{}.apply(s, now)
	tickEvent{}.apply(s, now)
	must.EqOp(t, StandingMember, s.standing(now))
	woken := now.Add(freezeLimit + time.Second)
	tickEvent{}.apply(s, woken)
	must.EqOp(t, StandingUnconfirmed, s.standing(woken))
	beatEvent{began: woken}.apply(s, woken)
	must.EqOp(t, StandingMember, s.standing(woken))
	beatEvent{err: ErrFenced{Member: "e1"}}.apply(s, woken)
	must.EqOp(t, StandingFenced, s.standing(woken))
}

func TestRemovedHostIsForgotten(t *testing.T) {
	h := host("h1", "counter", 4, basilmodel.HostStateFailed)
	s := loaded(1, h)
	removal := basilaudit.NewEntry(basilaudit.EntryRecord{Sequence: 2, Before: []basilmodel.Host{h}})
	entriesEvent{[]basilaudit.Entry{removal}}.apply(s, time.Time{})
	must.Len(t, 0, s.view(time.Time{}).Hosts())
}

func TestPropertyEachHostIsInOnePool(t *testing.T) {
	pools := []string{"counter", "divers", "stretch"}
	rapid.Check(t, func(t *rapid.T) {
		s := loaded(0)
		newest := make(map[string]basilmodel.Host)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			h := host(rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"),
				rapid.SampledFrom(pools).Draw(t, "pool"),
				rapid.Int64Range(1, 9).Draw(t, "epoch"), basilmodel.HostStateActive)
			if h.Epoch() >= newest[h.ID()].Epoch() {
				newest[h.ID()] = h
			}
			entriesEvent{[]basilaudit.Entry{entry(s.sequence+1, h)}}.apply(s, time.Time{})
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

func TestWokenLoopTrustsNoHeartbeatOfBefore(t *testing.T) {
	now := time.Now()
	c := NewControl(Options{Trail: basilaudit.NewTrail(nil), Publish: func(*View) {}})
	s := loaded(1)
	c.stepAt(s, beatEvent{began: now}, now)
	<-c.kickBeat // the one for the loaded view
	must.EqOp(t, StandingMember, c.View().Standing())
	woken := now.Add(freezeLimit + time.Second)
	c.stepAt(s, headEvent{at: now}, woken)
	must.EqOp(t, StandingUnconfirmed, c.View().Standing(), must.Sprint("any event finds out, not the tick alone"))
	c.stepAt(s, beatEvent{began: now.Add(time.Second)}, woken)
	must.EqOp(t, StandingUnconfirmed, c.View().Standing(), must.Sprint("it was sent before the freeze"))
	must.EqOp(t, 1, len(c.kickBeat), must.Sprint("a new one is due at once"))
	c.stepAt(s, beatEvent{began: woken}, woken)
	must.EqOp(t, StandingMember, c.View().Standing())
}
