package basilqueue

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Quota is what one team may ask of all entry hosts together; a rate of 0 is no limit.
type Quota struct {
	Team          string
	RatePerSecond float64
	Burst         int // 0 is one second's worth
}

// quotas holds this entry host's part of the teams' quotas; its zero value limits nobody.
type quotas struct {
	mutex    sync.RWMutex
	limiters map[string]*rate.Limiter
}

// SetQuotas sets the teams' quotas and the number of entry hosts that share them.
func (q *Queues) SetQuotas(all []Quota, members int) { q.quotas.set(all, max(1, members), time.Now()) }

func (q *quotas) set(all []Quota, members int, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	limiters := make(map[string]*rate.Limiter, len(all))
	for _, t := range all {
		if t.RatePerSecond <= 0 {
			continue
		}
		limit, burst := t.part(members)
		l := q.limiters[t.Team]
		if l == nil {
			l = rate.NewLimiter(limit, burst)
		}
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
		limiters[t.Team] = l
	}
	q.limiters = limiters
}

// part returns what one of so many entry hosts grants.
func (t Quota) part(members int) (rate.Limit, int) {
	burst := float64(t.Burst)
	if t.Burst <= 0 {
		burst = t.RatePerSecond
	}
	return rate.Limit(t.RatePerSecond / float64(members)), max(1, int(burst/float64(members)))
}

// take counts one job; it fails with ErrQuotaExceeded.
func (q *quotas) take(team string) error {
	q.mutex.RLock()
	l := q.limiters[team]
	q.mutex.RUnlock()
	if l == nil {
		return nil
	}
	now := time.Now()
	if l.AllowN(now, 1) {
		return nil
	}
	r := l.ReserveN(now, 1)
	after := r.DelayFrom(now)
	r.CancelAt(now)
	return errors.WithStack(ErrQuotaExceeded{Team: team, RetryAfter: spread(max(after, minRetryAfter))})
}
