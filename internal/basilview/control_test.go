package basilview_test

import (
	"context"
	"sync"
	"sync/atomic"
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

// inForceLimit is the required maximum delay until an accepted configuration is in force.
const inForceLimit = 8 * time.Second

type emptyHostSource struct{}

func (emptyHostSource) Hosts(context.Context) ([]basilmodel.Host, error) { return nil, nil }

func (emptyHostSource) List(context.Context) ([]basilplatform.ListedHost, error) { return nil, nil }

// testControl is a running control loop that records the revisions it publishes.
type testControl struct {
	*basilview.Control
	mutex     sync.Mutex
	revisions []int64
	stop      context.CancelFunc
}

func startControl(t *testing.T, table basilplatform.Table, id, dataCentre string) *testControl {
	t.Helper()
	e := &testControl{}
	e.Control = basilview.NewControl(basilview.Options{
		Member: basilview.MemberRecord{ID: id, DataCentre: dataCentre, Incarnation: ulid.Make()},
		Trail:  basilaudit.NewTrail(table),
		Hosts:  emptyHostSource{},
		List:   emptyHostSource{},
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

func configurationRecord(pool string) basilmodel.ConfigurationRecord {
	return basilmodel.ConfigurationRecord{
		Pools:    []basilmodel.Pool{{Name: pool}},
		Services: []basilmodel.Service{{Name: "quote", Pool: pool}},
	}
}

func acceptConfiguration(t *testing.T, table basilplatform.Table, base int64) basilmodel.Configuration {
	t.Helper()
	c, err := basilconfig.Apply(t.Context(), basilaudit.NewTrail(table), base, configurationRecord("counter"), basilaudit.Actor{Operator: "ann"})
	must.NoError(t, err)
	return c
}

func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// faultyTable wraps a table for a single entry host; calls can be delayed or made to fail.
type faultyTable struct {
	basilplatform.Table
	mutex       sync.Mutex
	unavailable bool
	delay       time.Duration
}

func (s *faultyTable) setFaults(unavailable bool, delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unavailable = unavailable
	s.delay = delay
}

func (s *faultyTable) injectFaults(ctx context.Context) error {
	s.mutex.Lock()
	unavailable, delay := s.unavailable, s.delay
	s.mutex.Unlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return basilplatform.ErrUnavailable{Operation: "read", Cause: ctx.Err()}
	case <-timer.C:
	}
	if unavailable {
		return basilplatform.ErrUnavailable{Operation: "read"}
	}
	return nil
}

func (s *faultyTable) Get(ctx context.Context, k basilplatform.Key) (basilplatform.Item, error) {
	if err := s.injectFaults(ctx); err != nil {
		return basilplatform.Item{}, err
	}
	return s.Table.Get(ctx, k)
}

func (s *faultyTable) Query(ctx context.Context, partition, after string, limit int) ([]basilplatform.Item, error) {
	if err := s.injectFaults(ctx); err != nil {
		return nil, err
	}
	return s.Table.Query(ctx, partition, after, limit)
}

func (s *faultyTable) Transact(ctx context.Context, x basilplatform.Transaction) error {
	if err := s.injectFaults(ctx); err != nil {
		return err
	}
	return s.Table.Transact(ctx, x)
}

func TestAcceptedConfigurationIsInForceInTime(t *testing.T) {
	tests := []struct {
		name          string
		before        func(*basilstandin.Table, *faultyTable)
		after         func(*basilstandin.Table, *faultyTable)
		heardFromPeer bool
	}{
		{"table in order", nil, nil, false},
		{"table slow by a second", nil, func(_ *basilstandin.Table, s *faultyTable) { s.setFaults(false, time.Second) }, false},
		{"table down after the acceptance, heard from a peer", nil, func(_ *basilstandin.Table, s *faultyTable) { s.setFaults(true, 0) }, true},
		{"table back after three seconds", func(_ *basilstandin.Table, s *faultyTable) { s.setFaults(true, 0) }, func(_ *basilstandin.Table, s *faultyTable) {
			time.AfterFunc(3*time.Second, func() { s.setFaults(false, 0) })
		}, false},
		{"answer of the acceptance lost", func(x *basilstandin.Table, _ *faultyTable) {
			x.SetFaults(basilstandin.TableFaults{LoseAnswers: true})
		}, func(x *basilstandin.Table, _ *faultyTable) { x.SetFaults(basilstandin.TableFaults{}) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var table basilstandin.Table
				link := &faultyTable{Table: &table}
				acceptConfiguration(t, &table, 0)
				e := startControl(t, link, "e1", "fukuoka")
				defer e.stop()
				advance(time.Second)
				if tt.before != nil {
					tt.before(&table, link)
				}
				c := acceptConfiguration(t, &table, 1)
				if tt.after != nil {
					tt.after(&table, link)
				}
				if tt.heardFromPeer {
					entries, err := basilaudit.NewTrail(&table).After(t.Context(), 1, 10)
					must.NoError(t, err)
					e.Entries(entries)
				}
				advance(inForceLimit)
				must.EqOp(t, c.Revision(), e.View().Configuration().Revision())
				for n := 1; n < len(e.revisions); n++ {
					must.GreaterEq(t, e.revisions[n-1], e.revisions[n], must.Sprint("configuration was reverted"))
				}
			})
		})
	}
}

func TestStalePeerNeverRevertsConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		first := acceptConfiguration(t, &table, 0)
		old, err := basilaudit.NewTrail(&table).After(t.Context(), 0, 10)
		must.NoError(t, err)
		acceptConfiguration(t, &table, 1)
		e := startControl(t, &table, "e1", "fukuoka")
		defer e.stop()
		advance(time.Second)
		e.Entries(old)
		e.Snapshot(basilview.Snapshot{Sequence: 1, Configuration: first})
		advance(time.Second)
		must.EqOp(t, 2, e.View().Configuration().Revision())
	})
}

func TestColdStartWithoutTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		acceptConfiguration(t, &table, 0)
		first := startControl(t, &table, "e1", "fukuoka")
		defer first.stop()
		advance(time.Second)
		link := &faultyTable{Table: &table, unavailable: true}
		second := startControl(t, link, "e2", "fukuoka")
		defer second.stop()
		advance(5 * time.Second)
		must.EqOp(t, basilview.StandingStarting, second.View().Standing())
		must.True(t, basilview.IsErrStale(second.Check(time.Now())))
		second.Snapshot(first.View().Snapshot())
		advance(time.Second)
		must.True(t, basilview.IsErrStale(second.Check(time.Now())), must.Sprint("must not serve with a view but no sponsor"))
		second.Sponsored("e1", time.Now())
		advance(time.Second)
		must.NoError(t, second.Check(time.Now()))
		advance(5 * time.Second)
		must.True(t, basilview.IsErrStale(second.Check(time.Now())), must.Sprint("sponsorship has expired"))
	})
}

func TestSponsorReportsLowestAppliedSequence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		acceptConfiguration(t, &table, 0)
		e := startControl(t, &table, "e1", "fukuoka")
		defer e.stop()
		advance(time.Second)
		e.Sponsor("young", 1)
		acceptConfiguration(t, &table, 1)
		advance(4 * time.Second)
		members, err := e.Registry().List(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 1, members[0].Applied())
		advance(10 * time.Second)
		members, err = e.Registry().List(t.Context())
		must.NoError(t, err)
		must.EqOp(t, 2, members[0].Applied(), must.Sprint("sponsored entry host that stopped reporting is dropped"))
	})
}

func TestReplacedMemberIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		acceptConfiguration(t, &table, 0)
		link := &faultyTable{Table: &table}
		old := startControl(t, link, "e1", "fukuoka")
		defer old.stop()
		advance(time.Second)
		must.NoError(t, old.Check(time.Now()))
		link.setFaults(true, 0)
		advance(time.Minute)
		must.NoError(t, old.Check(time.Now()), must.Sprint("member without access to the table keeps serving"))
		successor := startControl(t, &table, "e1", "fukuoka")
		defer successor.stop()
		advance(5 * time.Second)
		link.setFaults(false, 0)
		advance(5 * time.Second)
		must.EqOp(t, basilview.StandingFenced, old.View().Standing())
		must.True(t, basilview.IsErrStale(old.Check(time.Now())))
		must.NoError(t, successor.Check(time.Now()))
	})
}

func TestLostHeartbeatResponseDoesNotFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		acceptConfiguration(t, &table, 0)
		e := startControl(t, &table, "e1", "fukuoka")
		defer e.stop()
		advance(time.Second)
		table.SetFaults(basilstandin.TableFaults{LoseAnswers: true})
		advance(20 * time.Second)
		table.SetFaults(basilstandin.TableFaults{})
		advance(5 * time.Second)
		must.NoError(t, e.Check(time.Now()))
	})
}

func TestSilentMemberIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		acceptConfiguration(t, &table, 0)
		observer := startControl(t, &table, "e1", "fukuoka")
		defer observer.stop()
		silent := startControl(t, &table, "e2", "kumamoto")
		advance(10 * time.Second)
		must.False(t, observer.View().Gone(silent.Incarnation()))
		silent.stop()
		advance(30 * time.Second)
		must.True(t, observer.View().Gone(silent.Incarnation()))
		must.False(t, observer.View().Gone(observer.Incarnation()))
	})
}

// uninterruptedTable is a table whose transactions take some time, also if their context ends, and tells whether one is under way.
type uninterruptedTable struct {
	basilplatform.Table
	writing atomic.Int32
}

func (s *uninterruptedTable) Transact(ctx context.Context, x basilplatform.Transaction) error {
	s.writing.Add(1)
	defer s.writing.Add(-1)
	time.Sleep(time.Second)
	return s.Table.Transact(ctx, x)
}

// TestRunReturnsAfterItsHeartbeat checks that no heartbeat is under way when Run has returned. It raced with Leave, and could
// register the member again after it had left.
func TestRunReturnsAfterItsHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var table basilstandin.Table
		acceptConfiguration(t, &table, 0)
		slow := &uninterruptedTable{Table: &table}
		e := basilview.NewControl(basilview.Options{
			Member: basilview.MemberRecord{ID: "e1", DataCentre: "fukuoka", Incarnation: ulid.Make()}, Trail: basilaudit.NewTrail(slow),
			Hosts: emptyHostSource{}, List: emptyHostSource{}, Publish: func(*basilview.View) {}, Learnt: func([]basilaudit.Entry) {},
		})
		ctx, cancel := context.WithCancel(t.Context())
		returned := make(chan error, 1)
		go func() { returned <- e.Run(ctx) }()
		for slow.writing.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		must.NoError(t, <-returned)
		must.Eq(t, 0, slow.writing.Load())
	})
}
