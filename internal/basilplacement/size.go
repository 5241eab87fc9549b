package basilplacement

// Size is the resources of a task or a worker. The zero value for a worker means unknown.
type Size struct {
	Cores    float64
	MemoryMB int
}

// add returns the sum of s and o.
func (s Size) add(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, MemoryMB: s.MemoryMB + o.MemoryMB}
}

// sub returns s minus o.
func (s Size) sub(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, MemoryMB: s.MemoryMB - o.MemoryMB}
}

// covers reports whether o fits into s.
func (s Size) covers(o Size) bool { return o.Cores <= s.Cores && o.MemoryMB <= s.MemoryMB }

// Parameters for learning the core usage of a service.
const (
	sampleWeight = 0.1 // weight of a new report in the moving average
	minSamples   = 5   // reports before the average is used
	defaultCores = 1   // assumed for a task that declares none
	minRatio     = 0.1 // lowest ratio of a report
	maxRatio     = 8.0 // highest ratio of a report
)

// usageRatio is the moving average of the ratio between used and declared cores, for
// the tasks of one service.
type usageRatio struct {
	ratio   float64
	samples int
}

// observe adds a usage report. It ignores reports without usage or declared cores.
func (u *usageRatio) observe(declared int, usage float64) {
	if declared <= 0 || usage <= 0 {
		return
	}
	sample := min(max(usage/float64(declared), minRatio), maxRatio)
	u.samples++
	weight := max(sampleWeight, 1/float64(u.samples))
	u.ratio += (sample - u.ratio) * weight
}

// expectedSize returns the expected size of a task with the declared cores and
// memory. A nil receiver returns the declared size, with at least defaultCores.
func (u *usageRatio) expectedSize(cores, memoryMB int) Size {
	s := Size{Cores: float64(max(cores, defaultCores)), MemoryMB: memoryMB}
	if u != nil && u.samples >= minSamples {
		s.Cores *= u.ratio
	}
	return s
}
