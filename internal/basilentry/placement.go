package basilentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basiljob"
	"basilstage.example/basilstage/internal/basilmodel"
	"basilstage.example/basilstage/internal/basilview"
)

// retryPlacement is when to look again for a free host.
const retryPlacement = 2 * time.Second

// placement chooses workers for long jobs: of the own data centre first, the least recently chosen one.
type placement struct {
	control    *basilview.Control
	dataCentre string

	mutex  sync.Mutex
	chosen map[string]time.Time
}

func newPlacement(c *basilview.Control, dataCentre string) *placement {
	return &placement{control: c, dataCentre: dataCentre, chosen: make(map[string]time.Time)}
}

// Place returns the worker for the next attempt; it fails with basiljob.ErrNothingFree.
func (p *placement) Place(_ context.Context, r basiljob.PlacementRequest) (basiljob.Placement, error) {
	now := time.Now()
	v := p.control.View()
	declared, _ := v.Configuration().Service(r.Service)
	var candidates []basilmodel.Host
	for _, h := range v.Usable(declared.Pool, p.dataCentre, now) {
		if !slices.Contains(r.Exclude, h.ID()) {
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return basiljob.Placement{}, errors.WithStack(basiljob.ErrNothingFree{RetryAfter: retryPlacement})
	}
	h := p.leastRecent(candidates, now)
	return basiljob.Placement{Host: h.ID(), Address: h.Address(), HostEpoch: h.Epoch()}, nil
}

func (p *placement) leastRecent(candidates []basilmodel.Host, now time.Time) basilmodel.Host {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	rand.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
	best := slices.MinFunc(candidates, func(a, b basilmodel.Host) int {
		if c := p.distance(a) - p.distance(b); c != 0 {
			return c
		}
		return p.chosen[a.ID()].Compare(p.chosen[b.ID()])
	})
	p.chosen[best.ID()] = now
	return best
}

// distance is 0 for hosts of the own data centre.
func (p *placement) distance(h basilmodel.Host) int {
	if h.DataCentre() == p.dataCentre {
		return 0
	}
	return 1
}
