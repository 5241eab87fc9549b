package basilcapacity

import (
	"math"
	"slices"
	"time"
)

const (
	minPoolHosts      = 3                       // minimum size of a pool: one host may fail while another is in maintenance
	headroom          = 1.15                    // factor on the demand, because fragmented capacity can't be used
	forecastHorizon   = 1800 * time.Millisecond // the duration of a move plus the time until the moved host is listed
	releaseDelay      = 300 * time.Millisecond  // how long a pool keeps hosts that it no longer needs, since the next peak needs them at once
	waitingWeight     = 1.0                     // weight of waiting work, all of which has to run within its slack
	rateTimeConstant  = 600 * time.Millisecond  // time constant of the smoothed arrival rate
	slopeTimeConstant = 700 * time.Millisecond  // time constant of the smoothed slope; a peak rises within about two seconds
	maxForecastGrowth = 1.0                     // limit of the forecast rise within forecastHorizon, as a fraction of the level
	defaultHostCPU    = 64000                   // thousandths of a core, used until the capacity of a host is known
)

// demand is the demand of a pool and its trend.
type demand struct {
	trends      [resourceGPU + 1]trend // by resource
	updatedAt   time.Time
	recentNeeds []needSample // needs during the last releaseDelay
	shares      []needSample // shares during the last shareDelay

	spareSince      time.Time // since when the pool has had spare hosts; zero if it has none
	unreportedSince time.Time // since when the pool lacks hosts and reports fewer than it has; zero if it does not

	fill fillLimit
}

type needSample struct {
	at   time.Time
	need int
}

// trend is the demand for one resource and how it changes, in the unit of the resource.
type trend struct {
	level       float64 // in use plus weighted waiting work
	arrivalRate float64 // smoothed rate of arriving work
	arrived     int64   // Amounts.ArrivedWork of the latest report
	slope       float64 // smoothed change of level per second
}

// observe updates a pool's demand from its reported load.
func (m *moveState) observe(pool string, l Load, now time.Time) {
	d := m.demands[pool]
	if d == nil {
		d = &demand{}
		m.demands[pool] = d
	}
	var passed float64
	if !d.updatedAt.IsZero() {
		passed = now.Sub(d.updatedAt).Seconds()
	}
	d.fill.observe(l, l.ArrivedWork < d.trends[resourceCPU].arrived, now)
	for r, a := range l.amounts() {
		d.trends[r].observe(a, passed)
	}
	d.updatedAt = now
}

// observe updates the trend with a report that came the given number of seconds after the previous one. A smaller total of
// arrived work than before is not counted: a new pool owner starts at zero.
func (t *trend) observe(a Amounts, passed float64) {
	level := float64(a.Used) + waitingWeight*float64(a.WaitingDemand)
	if passed > 0 {
		t.slope += (1 - math.Exp(-passed/slopeTimeConstant.Seconds())) * ((level-t.level)/passed - t.slope)
	}
	if passed > 0 && a.ArrivedWork >= t.arrived {
		t.arrivalRate += (1 - math.Exp(-passed/rateTimeConstant.Seconds())) * (float64(a.ArrivedWork-t.arrived)/passed - t.arrivalRate)
	}
	t.level, t.arrived = level, a.ArrivedWork
}

// need returns how many hosts a pool needs, of which some that waiting work lacked are on the way, and records it among the recent needs.
func (f *Fleet) need(pool string, arriving int, now time.Time) int {
	d := f.moves.demands[pool]
	if d == nil {
		return 0
	}
	hosts, _ := f.hostsForDemand(pool, now)
	hosts = min(hosts, f.fillableHosts(pool, now))
	hosts = max(hosts, f.reports[pool].Load.MinHosts, minPoolHosts)
	if arriving > 0 {
		hosts = max(hosts, f.reports[pool].Load.Kept+arriving)
	}
	d.recentNeeds = addSample(d.recentNeeds, needSample{now, hosts}, releaseDelay)
	return hosts
}

// addSample adds a sample to those of the given time.
func addSample(samples []needSample, s needSample, length time.Duration) []needSample {
	old := 0
	for old < len(samples) && s.at.Sub(samples[old].at) > length {
		old++
	}
	return append(slices.Delete(samples, 0, old), s)
}

// highest returns the highest need of the samples.
func highest(samples []needSample) int {
	var most int
	for _, s := range samples {
		most = max(most, s.need)
	}
	return most
}

// hostsForDemand returns how many hosts the demand of a pool takes, and the resource of which it takes most hosts. Tasks
// that reserve much memory fill hosts whose processors have room left.
func (f *Fleet) hostsForDemand(pool string, now time.Time) (int, resource) {
	d, most, binding := f.moves.demands[pool], 0, resourceCPU
	amounts := f.reports[pool].Load.amounts()
	for r := range resource(len(d.trends)) {
		size := f.averageCapacity(pool, r)
		if size == 0 {
			continue
		}
		demanded := max(d.trends[r].level+d.expectedRise(r, now), d.steadyLevel(r, amounts[r], now))
		if hosts := int(math.Ceil(demanded * headroom / float64(size))); hosts > most {
			most, binding = hosts, r
		}
	}
	return most, binding
}

// expectedRise returns the expected rise of the level by the time a host moved now would arrive.
func (d *demand) expectedRise(r resource, now time.Time) float64 {
	if now.Sub(d.updatedAt) > forecastHorizon {
		return 0
	}
	return min(max(0, d.trends[r].slope)*forecastHorizon.Seconds(), maxForecastGrowth*d.trends[r].level)
}

// steadyLevel returns the amount that stays in use if work keeps arriving at the present rate.
func (d *demand) steadyLevel(r resource, a Amounts, now time.Time) float64 {
	rate := d.trends[r].arrivalRate * math.Exp(-now.Sub(d.updatedAt).Seconds()/rateTimeConstant.Seconds())
	return float64(a.Serving) + rate + waitingWeight*float64(a.WaitingDemand)
}

// recentNeed returns the highest recent need of the pool.
func (f *Fleet) recentNeed(pool string) int {
	return highest(f.moves.demands[pool].recentNeeds)
}

// averageCapacity returns how much of the resource a host of the pool has, or 0 if that is not known or some host has none:
// a host that is moved to the pool might have none either.
func (f *Fleet) averageCapacity(pool string, r resource) int {
	t := f.countsOf(pool)
	switch {
	case t.withCapacity == 0 && r == resourceCPU:
		return defaultHostCPU
	case t.withCapacity == 0 || r.of(t.least) == 0:
		return 0
	}
	return r.of(t.capacity) / t.withCapacity
}
