package basilnode

import (
	runtimemetrics "runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

// usage is what the process uses.
type usage struct {
	processor  time.Duration // so far; 0 where the system doesn't tell
	memory     uint64        // bytes that the runtime holds
	goroutines uint64
}

func readUsage() usage {
	samples := []runtimemetrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}, {Name: "/sched/goroutines:goroutines"},
	}
	runtimemetrics.Read(samples)
	u := usage{memory: samples[0].Value.Uint64() - samples[1].Value.Uint64(), goroutines: samples[2].Value.Uint64()}
	var r unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &r) == nil {
		u.processor = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	return u
}
