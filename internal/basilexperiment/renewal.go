package basilexperiment

import (
	"math/rand/v2"
	"time"

	"basilstage.example/basilstage/internal/basilrunner"
	"basilstage.example/basilstage/internal/basiltimer"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Trouble -trimprefix=Trouble -transform=snake -output=trouble_enumer.go

// Trouble is what happens to a share of the holds of a sound backend server.
type Trouble int

// Troubles of holds.
const (
	TroubleLost Trouble = iota // carried out at once, and not answered
	TroubleLate                // carried out 2 to 12 s later, and not answered
	TroubleSlow                // carried out at once, and answered after slowAnswer
)

// As internal/basilrunner has them, and the users' pages for late orders.
const (
	renewalWait      = 400 * time.Millisecond // of a hold for the end of a run
	renewalPause     = 40 * time.Millisecond  // between holds that are answered
	shortestTimeout  = 200 * time.Millisecond
	longestTimeout   = 900 * time.Millisecond
	renewalRetry     = 300 * time.Millisecond // after a second miss, in the version before
	quickAnswer      = 4 * time.Millisecond
	slowAnswer       = 500 * time.Millisecond
	earliestLate     = 2 * time.Second // after which a late order is carried out
	latestLate       = 12 * time.Second
	lowestClockRate  = 0.98
	renewalsSettle   = 2 * time.Second // without trouble, before and after it
	serverClockStart = 1000            // milliseconds, as a server that knows no time says 0
)

// Renewals says how an owner renews the leases of a backend server.
type Renewals struct {
	Name string
	// Limit is the time after the last answer for which holds carry a deadline; 0 is until the first miss.
	Limit time.Duration
	// Interval is the time from one try to the next after a miss; 0 is no pause after the first, and renewalRetry after the others.
	Interval time.Duration
	// Growing gives the tries whose timeout grows with the misses, one in so many; 0 is none.
	Growing int
	// Partial is the time for which no timeout grows after a try that followed a miss was answered as soon as answers come otherwise.
	Partial time.Duration
	// Brief sends a hold that doesn't wait for the end of a run after the first answer that follows a miss.
	Brief bool
}

// RenewalWays returns the ways to renew leases that are compared; the first is the version before.
func RenewalWays() []Renewals {
	const limit, interval, partial = 1500 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second
	return []Renewals{
		{Name: "before", Growing: 1},
		{Name: "limit", Limit: limit, Growing: 1},
		{Name: "interval", Interval: interval, Growing: 1},
		{Name: "limit_interval", Limit: limit, Interval: interval, Growing: 1},
		{Name: "no_growth", Limit: limit, Interval: interval},
		{Name: "third_grows", Limit: limit, Interval: interval, Growing: 3},
		{Name: "eighth_grows", Limit: limit, Interval: interval, Growing: 8},
		{Name: "partial", Limit: limit, Interval: interval, Growing: 3, Partial: partial},
		{Name: "partial_brief", Limit: limit, Interval: interval, Growing: 3, Partial: partial, Brief: true},
	}
}

// RenewalCase is a trouble that plays are made of. A share of 1 is a backend server that is gone for good.
type RenewalCase struct {
	Trouble  Trouble
	Share    float64
	Duration time.Duration
	Lease    time.Duration
}

// RenewalFigures is what plays of a case came to.
type RenewalFigures struct {
	Plays, Lapsed int
	Holds         float64       // a second of the trouble
	Busiest       int           // most holds within a second
	GivenUp       time.Duration // longest time from the last answer until the server was given up
	Silence       time.Duration // longest time from one answer to the next
}

// PlayRenewals plays a case that often, each time with other draws.
func PlayRenewals(w Renewals, c RenewalCase, seed uint64, plays int) RenewalFigures {
	f := RenewalFigures{Plays: plays}
	holds := 0
	for n := range plays {
		p := &renewalPlay{Renewals: w, RenewalCase: c, random: rand.New(rand.NewPCG(seed, uint64(n))), timeout: basiltimer.NewAnswerTimeout(shortestTimeout, longestTimeout)}
		p.run()
		if p.lapsed {
			f.Lapsed++
		}
		holds += p.holds
		f.Busiest = max(f.Busiest, p.busiest)
		f.GivenUp = max(f.GivenUp, p.givenUp)
		f.Silence = max(f.Silence, p.silence)
	}
	f.Holds = float64(holds) / float64(plays) / c.Duration.Seconds()
	return f
}

// renewalPlay is an owner that renews the leases of one backend server, whose clock is up to 2 % slow.
type renewalPlay struct {
	Renewals
	RenewalCase
	random   *rand.Rand
	now      time.Time
	began    time.Time
	trouble  time.Time // when the trouble begins
	rate     float64
	deadline int64 // at the server, on its clock
	lapsed   bool
	late     []lateHold

	lease        basilrunner.Lease
	timeout      *basiltimer.AnswerTimeout
	misses       int
	answeredMiss bool      // the last hold was the first to be answered after a miss
	partAt       time.Time // when a part of the tries was last answered
	holds        int
	recent       []time.Time // holds of the last second of the trouble
	busiest      int
	givenUp      time.Duration
	silence      time.Duration
}

// lateHold is a hold that the server carries out later.
type lateHold struct {
	at       time.Time
	deadline int64
}

func (p *renewalPlay) run() {
	p.rate = lowestClockRate + (1-lowestClockRate)*p.random.Float64()
	p.now = time.Unix(0, 0)
	p.began = p.now
	p.trouble = p.now.Add(renewalsSettle + time.Duration(p.random.Int64N(int64(time.Second))))
	p.deadline = p.clock(p.now) + p.Lease.Milliseconds()
	p.lease.RecordAnswer(p.clock(p.now), p.now)
	p.timeout.Answered(quickAnswer)
	end := p.trouble.Add(p.Duration + renewalsSettle)
	for !p.lapsed && p.now.Before(end) {
		p.hold()
	}
}

func (p *renewalPlay) clock(at time.Time) int64 {
	return serverClockStart + int64(float64(at.Sub(p.began).Milliseconds())*p.rate)
}

// isGone reports whether the server is gone for good.
func (p *renewalPlay) isGone() bool { return p.Trouble == TroubleLost && p.Share == 1 }

func (p *renewalPlay) inTrouble() bool {
	return !p.now.Before(p.trouble) && p.now.Before(p.trouble.Add(p.Duration))
}

// hold sends a hold and waits until the next is due.
func (p *renewalPlay) hold() {
	var deadline int64
	if p.misses == 0 || p.now.Sub(p.lease.LastAnswer()) < p.Limit {
		deadline = p.lease.Deadline(p.now, p.Lease)
	}
	wait := p.waitTime()
	sent := p.now
	timeout := wait + p.nextTimeout()
	if left := p.lease.Expiry(p.Lease).Sub(sent); p.Interval > 0 && left < timeout+p.Interval {
		timeout = left + time.Millisecond // the last try
	}
	p.count()
	latency, answered := p.carryOut(deadline)
	if latency += wait; answered && latency < timeout {
		p.now = sent.Add(latency)
		if p.misses > 0 && latency < p.timeout.GetInitial() {
			p.partAt = p.now
		}
		p.answeredMiss, p.misses = p.misses > 0, 0
		p.silence = max(p.silence, p.now.Sub(p.lease.LastAnswer()))
		p.lease.RecordAnswer(p.clock(p.now), p.now)
		p.timeout.Responsive()
		if wait == 0 {
			p.timeout.Answered(latency)
		}
		p.now = p.now.Add(renewalPause)
		return
	}
	p.now = sent.Add(timeout)
	p.misses++
	p.answeredMiss = false
	p.timeout.Missed()
	p.serve(p.now)
	if p.now.After(p.lease.Expiry(p.Lease)) {
		p.lapsed = true
		p.givenUp = p.now.Sub(p.lease.LastAnswer())
		return
	}
	p.pauseAfterMiss(sent)
}

// carryOut has the server take a hold, and returns when it is answered, if it is.
func (p *renewalPlay) carryOut(deadline int64) (latency time.Duration, answered bool) {
	p.serve(p.now)
	if !p.inTrouble() || p.random.Float64() >= p.Share {
		p.extend(deadline)
		return quickAnswer, true
	}
	switch p.Trouble {
	case TroubleSlow:
		p.extend(deadline)
		return slowAnswer, true
	case TroubleLate:
		after := earliestLate + time.Duration(p.random.Int64N(int64(latestLate-earliestLate)))
		p.late = append(p.late, lateHold{p.now.Add(after), deadline})
		return 0, false
	}
	if !p.isGone() {
		p.extend(deadline)
	}
	return 0, false
}

// serve has the server carry out the late holds that are due, and ends its runs if their lease has expired.
func (p *renewalPlay) serve(now time.Time) {
	for {
		next := -1
		for n, l := range p.late {
			if !l.at.After(now) && (next < 0 || l.at.Before(p.late[next].at)) {
				next = n
			}
		}
		if next < 0 {
			break
		}
		l := p.late[next]
		p.late = append(p.late[:next], p.late[next+1:]...)
		p.expire(l.at)
		p.extend(l.deadline)
	}
	p.expire(now)
}

// expire ends the runs if their lease has expired. Runs of a server that is gone are ended by the owner's clock.
func (p *renewalPlay) expire(now time.Time) {
	if !p.isGone() && p.clock(now) > p.deadline {
		p.lapsed = true
	}
}

func (p *renewalPlay) extend(deadline int64) {
	if !p.lapsed {
		p.deadline = max(p.deadline, deadline)
	}
}

func (p *renewalPlay) waitTime() time.Duration {
	if p.misses > 0 || p.Brief && p.answeredMiss {
		return 0
	}
	return renewalWait
}

func (p *renewalPlay) nextTimeout() time.Duration {
	partial := !p.partAt.IsZero() && p.now.Sub(p.partAt) < p.Partial
	if p.Growing > 0 && !partial && p.misses%p.Growing == p.Growing-1 {
		return p.timeout.Get()
	}
	return p.timeout.GetInitial()
}

func (p *renewalPlay) pauseAfterMiss(sent time.Time) {
	switch {
	case p.Interval > 0:
		p.waitUntil(sent.Add(p.Interval))
	case p.misses > 1:
		p.now = p.now.Add(renewalRetry)
	}
}

func (p *renewalPlay) waitUntil(at time.Time) {
	if at.After(p.now) {
		p.now = at
	}
}

// count counts a hold that is sent in the trouble.
func (p *renewalPlay) count() {
	if !p.inTrouble() {
		return
	}
	p.holds++
	p.recent = append(p.recent, p.now)
	for p.now.Sub(p.recent[0]) >= time.Second {
		p.recent = p.recent[1:]
	}
	p.busiest = max(p.busiest, len(p.recent))
}
