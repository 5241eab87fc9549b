package basilqueue

import (
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Quota is the rate limit of one team across all entry hosts; a rate of 0 means no limit.
type Quota struct {
	Team          string
	RatePerSecond float64
	Burst         int // 0 means the rate of one second
}

// quotas holds this entry host's share of the teams' quotas; the zero value limits no team.
type quotas struct {
	mutex    sync.RWMutex
	limiters map[string]*rate.Limiter
}

// SetQuotas sets the teams' quotas and the number of entry hosts that share them.
func (q *Queues) SetQuotas(quotas []Quota, entryHosts int) {
	q.quotas.set(quotas, max(1, entryHosts), time.Now())
}

func (q *quotas) set(teams []Quota, entryHosts int, now time.Time) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	limiters := make(map[string]*rate.Limiter, len(teams))
	for _, quota := range teams {
		if quota.RatePerSecond <= 0 {
			continue
		}
		limit, burst := quota.share(entryHosts)
		l := q.limiters[quota.Team]
		if l == nil {
			l = rate.NewLimiter(limit, burst)
		}
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
		limiters[quota.Team] = l
	}
	q.limiters = limiters
}

// share returns the limit and burst of one entry host.
func (q Quota) share(entryHosts int) (rate.Limit, int) {
	burst := float64(q.Burst)
	if q.Burst <= 0 {
		burst = q.RatePerSecond
	}
	return rate.Limit(q.RatePerSecond / float64(entryHosts)), max(1, int(burst/float64(entryHosts)))
}

// take counts one job; it returns ErrQuotaExceeded if the quota is used up.
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
	return errors.WithStack(ErrQuotaExceeded{Team: team, RetryAfter: addJitter(max(after, minRetryAfter))})
}
