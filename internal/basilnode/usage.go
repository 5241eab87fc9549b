package basilnode

import (
	runtimemetrics "runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// usage is the resource usage of the process.
type usage struct {
	processor  time.Duration // processor time so far; 0 if the system doesn't report it
	memory     uint64        // bytes that the runtime has mapped and not released
	goroutines uint64
}

func readUsage() usage {
	samples := []runtimemetrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	runtimemetrics.Read(samples)
	return usage{
		processor: processorTime(), memory: samples[0].Value.Uint64() - samples[1].Value.Uint64(), goroutines: samples[2].Value.Uint64(),
	}
}

// processorTime returns the user and system time of the process so far, or 0 if the system doesn't report it.
func processorTime() time.Duration {
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(unix.TimevalToNsec(r.Utime) + unix.TimevalToNsec(r.Stime))
}
