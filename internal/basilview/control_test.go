package basilview_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilconfig"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilview"
)

// inForceLimit is the users' bound on an accepted configuration.
const inForceLimit = 8 * time.Second

type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]basilmodel.Host, error) { return nil, nil }

func (noHosts) List(context.Context) ([]basilplatform.ListedHost, error) { return nil, nil }

// entry is one control loop on a table of its own choosing.
type entry struct {
	*basilview.Control
	mutex     sync.Mutex
	revisions []int64
	stop      context.CancelFunc
}

func start(t *testing.T, table basilplatform.Table, id, dataCentre string) *entry {
	t.Helper()
	e := &entry{}
	e.Control = basilview.NewControl(basilview.Options{
		Member: basilview.MemberRecord{ID: id, DataCentre: dataCentre, Incarnation: ulid.Make()},
		Trail:  basilaudit.NewTrail(table),
		Hosts:  noHosts{},
		List:   noHosts{},
		Publish: func(v *basilview.View) {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.revisions = append(e.revisions, v.Configuration().Revision())
		},
		Learnt: func([]basilaudit.Entry) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	e.stop = cancel
	go func() { _ = e.Run(ctx) }()
	return e
}

func record(pool string) basilmodel.ConfigurationRecord {
	return basilmodel.ConfigurationRecord{
		Pools:    []basilmodel.Pool{{Name: pool}},
		Services: []basilmodel.Service{{Name: "quote", Pool: pool}},
	}
}

func accept(t *testing.T, table basilplatform.Table, base int64) basilmodel.Configuration {
	t.Helper()
	c, err := basilconfig.Apply(t.Context(), basilaudit.NewTrail(table), base, record("counter"), basilaudit.Actor{Operator: "ann"})
	must.NoError(t, err)
	return c
}

func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// switched is a table whose link can be cut for one entry host alone.
type switched struct {
	basilplatform.Table
	mutex sync.Mutex
	cut   bool
	delay time.Duration
}

func (s *switched) set(cut bool, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cut = cut
	s.delay = delay
}

func (s *switched) enter(ctx context.Context) error {
	s.mutex.Lock()
	cut, delay := s.cut, s.delay
	s.mutex.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return basilplatform.ErrUnavailable{Operation: "read", Cause: ctx.Err()}
	case <-timer.C:
	}
	if cut {
		return basilplatform.ErrUnavailable{Operation: "read"}
	}
	return nil
}

func (s *switched) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if err := s.enter(ctx); err != nil {
		return basilplatform.Item{}, err
	}
	return s.Table.Get(ctx, k)
}

func (s *switched) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	return s.Table.Query(ctx, partition, after, limit)
}

func (s *switched) Transact(ctx context.Context, x basilplatform.Transaction) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	return s.Table.Transact(ctx, x)
}

func TestAcceptedConfigurationIsInForceInTime(t *testing.T) {
	tests := []struct {
		name     string
		before   func(*basilstandin.Table, *switched)
		after    func(*basilstandin.Table, *switched)
		announce bool
	}{
		{"table in order", nil, nil, false},
		{"table slow by a second", nil, func(_ *basilstandin.Table, s *switched) { s.set(false, time.Second) }, false},
		{"table down after the acceptance, heard from a peer", nil, func(_ *basilstandin.Table, s *switched) { s.set(true, 0) }, true},
		{"table back after three seconds", func(_ *basilstandin.Table, s *switched) { s.set(true, 0) }, func(_ *basilstandin.Table, s *switched) {
			time.AfterFunc(3*time.Second, func() { s.set(false, 0) })
		}, false},
		{"answer of the acceptance lost", func(x *basilstandin.Table, _ *switched) {
			x.SetFaults(basilstandin.TableFaults{LoseAnswers: true})
		}, func(x *basilstandin.Table, _ *switched) { x.SetFaults(basilstandin.TableFaults{}) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var table basilstandin.Table
				link := &switched{Table: &table}
				accept(t, &table, 0)
				e := start(t, link, "e1", "fukuoka")
				defer e.stop()
				pass(time.Second)
				if tt.before != nil {
					tt.before(&table, link)
				}
				c := accept(t, &table, 1)
				if tt.after != nil {
					tt.after(&table, link)
				}
				if tt.announce {
					entries, err := basilaudit.NewTrail(&table).After(t.Context(), 1, 10)
					must.NoError(t, err)
					e.Entries(entries)
				}
				pass(inForceLimit)
				must.EqOp(t, c.Revision(), e.View().Configuration().Revision())
				for n := 1; n < len(e.revisions); n++ {
					must.GreaterEq(t, e.revisions[n-1], e.revisions[n], must.Sprint("reverted"))
				}
			})
		})
	}
}

func TestStalePeerNeverRevertsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		first := accept(t, &table, 0)
		old, err := basilaudit.NewTrail(&table).After(t.Context(), 0, 10)
		must.NoError(t, err)
		accept(t, &table, 1)
		e := start(t, &table, "e1", "fukuoka")
		defer e.stop()
		pass(time.Second)
		e.Entries(old)
		e.Snapshot(basilview.Snapshot{Sequence: 1, Configuration: first})
		pass(time.Second)
		must.EqOp(t, 2, e.View().Configuration().Revision())
	})
}

func TestColdStartWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		accept(t, &table, 0)
		first := start(t, &table, "e1", "fukuoka")
		defer first.stop()
		pass(time.Second)
		link := &switched{Table: &table, cut: true}
		second := start(t, link, "e2", "fukuoka")
		defer second.stop()
		pass(5 * time.Second)
		must.EqOp(t, basilview.StandingStarting, second.View().Standing())
		must.True(t, basilview.IsErrStale(second.Check(time.Now())))
		second.Snapshot(first.View().Snapshot())
		pass(time.Second)
		must.True(t, basilview.IsErrStale(second.Check(time.Now())), must.Sprint("a view alone is not enough to serve"))
		second.Sponsored("e1", time.Now())
		pass(time.Second)
		must.NoError(t, second.Check(time.Now()))
		pass(5 * time.Second)
		must.True(t, basilview.IsErrStale(second.Check(time.Now())), must.Sprint("the sponsor fell silent"))
	})
}

func TestSponsorReportsTheLowestApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		accept(t, &table, 0)
		e := start(t, &table, "e1", "fukuoka")
		defer e.stop()
		pass(time.Second)
		e.Sponsor("young", 1)
		accept(t, &table, 1)
		pass(4 * time.Second)
		members, err := e.Registry().List(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 1, members[0].Applied())
		pass(10 * time.Second)
		members, err = e.Registry().List(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 2, members[0].Applied(), must.Sprint("a silent one no longer holds it back"))
	})
}

func TestReplacedMemberIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		accept(t, &table, 0)
		link := &switched{Table: &table}
		old := start(t, link, "e1", "fukuoka")
		defer old.stop()
		pass(time.Second)
		must.NoError(t, old.Check(time.Now()))
		link.set(true, 0)
		pass(time.Minute)
		must.NoError(t, old.Check(time.Now()), must.Sprint("cut off, it goes on serving"))
		successor := start(t, &table, "e1", "fukuoka")
		defer successor.stop()
		pass(5 * time.Second)
		link.set(false, 0)
		pass(5 * time.Second)
		must.EqOp(t, basilview.StandingFenced, old.View().Standing())
		must.True(t, basilview.IsErrStale(old.Check(time.Now())))
		must.NoError(t, successor.Check(time.Now()))
	})
}

func TestLostHeartbeatAnswerDoesNotFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		accept(t, &table, 0)
		e := start(t, &table, "e1", "fukuoka")
		defer e.stop()
		pass(time.Second)
		table.SetFaults(basilstandin.TableFaults{LoseAnswers: true})
		pass(20 * time.Second)
		table.SetFaults(basilstandin.TableFaults{})
		pass(5 * time.Second)
		must.NoError(t, e.Check(time.Now()))
	})
}

func TestSilentMemberIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		accept(t, &table, 0)
		e1 := start(t, &table, "e1", "fukuoka")
		defer e1.stop()
		e2 := start(t, &table, "e2", "kumamoto")
		pass(10 * time.Second)
		must.False(t, e1.View().Gone(e2.Incarnation()))
		e2.stop()
		pass(30 * time.Second)
		must.True(t, e1.View().Gone(e2.Incarnation()))
		must.False(t, e1.View().Gone(e1.Incarnation()))
	})
}
