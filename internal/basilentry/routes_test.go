package basilentry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilaudit"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilrouter"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/internal/basilview"
)

// The users' target.
const (
	targetHosts        = 13_000
	targetPools        = 23
	servicesPerPool    = 5
	targetDataCentres  = 20
	sequenceOfSnapshot = 1
)

type emptyFleet struct{}

func (emptyFleet) Hosts(context.Context) ([]basilmodel.Host, error) { return nil, nil }

func (emptyFleet) List(context.Context) ([]basilplatform.ListedHost, error) { return nil, nil }

// viewOf returns a view with hosts spread over pools, each pool with its services.
func viewOf(tb testing.TB, hosts, pools int) (*basilview.Control, func()) {
	tb.Helper()
	published := make(chan struct{}, 1)
	c := basilview.NewControl(basilview.Options{
		Member: basilview.MemberRecord{ID: "e1", DataCentre: "dc-00", Incarnation: ulid.Make()},
		Trail:  basilaudit.NewTrail(&basilstandin.Table{}),
		Hosts:  emptyFleet{}, List: emptyFleet{},
		Publish: func(v *basilview.View) {
			if v.Sequence() >= sequenceOfSnapshot {
				select {
				case published <- struct{}{}:
				default:
				}
			}
		},
		Learnt: func([]basilaudit.Entry) {},
	})
	s := basilview.Snapshot{Sequence: sequenceOfSnapshot}
	r := basilmodel.ConfigurationRecord{Revision: 1}
	for n := range pools {
		name := fmt.Sprintf("pool-%02d", n)
		r.Pools = append(r.Pools, basilmodel.Pool{Name: name})
		for m := range servicesPerPool {
			r.Services = append(r.Services, basilmodel.Service{Name: fmt.Sprintf("service-%02d-%d", n, m), Pool: name})
		}
	}
	s.Configuration = basilmodel.NewConfiguration(r)
	for n := range hosts {
		s.Hosts = append(s.Hosts, basilmodel.NewHost(basilmodel.HostRecord{
			ID: fmt.Sprintf("host-%05d", n), DataCentre: fmt.Sprintf("dc-%02d", n%targetDataCentres),
			Pool: fmt.Sprintf("pool-%02d", n%pools), State: basilmodel.HostStateActive, Epoch: 1,
			Address: fmt.Sprintf("10.%d.%d.%d:8443", n>>16, n>>8&255, n&255),
		}))
	}
	ctx, cancel := context.WithCancel(tb.Context())
	go func() { _ = c.Run(ctx) }()
	c.Snapshot(s)
	<-published
	return c, cancel
}

func TestRoutesFollowTheView(t *testing.T) {
	c, stop := viewOf(t, 40, 2)
	defer stop()
	router := basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "dc-00"})
	r := newRoutes(router, "dc-00")
	now := time.Now()
	r.publish(c.View(), now)
	must.MapLen(t, 2*servicesPerPool, r.published)
	p, err := router.Pick("service-00-0", now)
	must.NoError(t, err)
	must.EqOp(t, "dc-00", p.Backend().DataCentre)
	later := now.Add(time.Hour)
	r.publish(c.View(), later)
	for range 20 {
		p, err := router.Pick("service-00-0", later)
		if err != nil {
			must.True(t, basilrouter.IsErrNoBackend(err))
			break
		}
		must.EqOp(t, "dc-00", p.Backend().DataCentre, must.Sprint("an old view must not reach other data centres"))
	}
}

func BenchmarkPublishOnePoolAtTarget(b *testing.B) {
	c, stop := viewOf(b, targetHosts, targetPools)
	defer stop()
	r := newRoutes(basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "dc-00"}), "dc-00")
	v := c.View()
	now := time.Now()
	r.publish(v, now)
	b.ReportAllocs()
	for b.Loop() {
		for m := range servicesPerPool {
			delete(r.published, fmt.Sprintf("service-00-%d", m))
		}
		r.publish(v, now)
	}
}

func TestSparePoolTakesTheOverflow(t *testing.T) {
	c, stop := viewOf(t, 4, 2)
	defer stop()
	router := basilrouter.NewRouter(basilrouter.RouterOptions{DataCentre: "dc-00"})
	r := newRoutes(router, "dc-00")
	now := time.Now().Add(time.Hour) // the view is old by then
	backends := r.backends(c.View(), "pool-00", "pool-01", now)
	must.Len(t, 1, backends, must.Sprint("without a fresh view only the own data centre's hosts are used"))
	router.Update("service-00-0", append(backends, basilrouter.Backend{Host: "spare", Address: "10.0.0.9:8443", DataCentre: "dc-00", Overflow: true}))
	var own, spare int
	for {
		p, err := router.Pick("service-00-0", now)
		if err != nil {
			break
		}
		if p.Backend().Overflow {
			spare++
			continue
		}
		own++
		must.EqOp(t, 0, spare, must.Sprint("the spare pool comes last"))
	}
	must.EqOp(t, 8, own)
	must.EqOp(t, 8, spare)
}
