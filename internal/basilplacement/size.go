package basilplacement

// Size is what a task takes or a worker has; 0 is unknown for a worker.
type Size struct {
	Cores    float64
	MemoryMB int
}

// add returns the sum of both.
func (s Size) add(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, MemoryMB: s.MemoryMB + o.MemoryMB}
}

// less returns what is left of s.
func (s Size) less(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, MemoryMB: s.MemoryMB - o.MemoryMB}
}

// holds tells whether o fits into s.
func (s Size) holds(o Size) bool { return o.Cores <= s.Cores && o.MemoryMB <= s.MemoryMB }

// Limits of what is learned of a service.
const (
	learnWeight  = 0.1 // of a new report
	learnSamples = 5   // reports before they count
	minimumCores = 1   // of a task that declares none
	learnMinimum = 0.1 // of the declared cores
	learnMaximum = 8.0 // times the declared cores
)

// learned is how the cores that tasks of one service use compare with those declared.
type learned struct {
	ratio   float64
	samples int
}

// take counts a report; one without usage or declared cores says nothing.
func (l *learned) take(declared int, usage float64) {
	if declared <= 0 || usage <= 0 {
		return
	}
	r := min(max(usage/float64(declared), learnMinimum), learnMaximum)
	l.samples++
	weight := max(learnWeight, 1/float64(l.samples))
	l.ratio += (r - l.ratio) * weight
}

// size returns what a task with the declared size is expected to take.
func (l *learned) size(cores, memoryMB int) Size {
	s := Size{Cores: float64(max(cores, minimumCores)), MemoryMB: memoryMB}
	if l != nil && l.samples >= learnSamples {
		s.Cores *= l.ratio
	}
	return s
}
