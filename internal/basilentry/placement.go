package basilentry

import (
	"context"
	"time"

	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilview"
)

// workerFleet tells the placer which workers the newest view holds.
type workerFleet struct {
	view       func() *basilview.View
	dataCentre string
}

// Usable returns the hosts that may be sent work of the service now.
func (f workerFleet) Usable(service string, now time.Time) []basilmodel.Host {
	v := f.view()
	declared, _ := v.Configuration().Service(service)
	return v.Usable(declared.Pool, f.dataCentre, now)
}

// All returns the hosts of the service's pool, whatever their state.
func (f workerFleet) All(service string) []basilmodel.Host {
	v := f.view()
	declared, _ := v.Configuration().Service(service)
	return v.HostsIn(declared.Pool)
}

// taughtList is a host list of which each reading is learnt from.
type taughtList struct {
	basilplatform.HostList
	learn func([]basilplatform.ListedHost)
}

// List returns the platform's list of live and leaving hosts.
func (l taughtList) List(ctx context.Context) ([]basilplatform.ListedHost, error) {
	listed, err := l.HostList.List(ctx)
	if err == nil {
		l.learn(listed)
	}
	return listed, err
}
