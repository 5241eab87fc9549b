package main_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Today's sizes.
const (
	todayEntryHosts = 7
	todayHosts      = 50
	clockTicks      = 100 // of /proc, a second
)

// restPeriod is how long the entry hosts are watched at rest.
const restPeriod = 30 * time.Second

// BenchmarkEntryHostAtRest measures what control costs an entry host when nothing happens: processor, memory, peers' bytes.
func BenchmarkEntryHostAtRest(b *testing.B) {
	l := newLab(b)
	var hosts []map[string]string
	for n := range todayHosts {
		hosts = append(hosts, map[string]string{
			"id": fmt.Sprintf("h%02d", n), "data_centre": []string{"fukuoka", "kumamoto", "kagoshima"}[n%3],
			"rack": fmt.Sprintf("r%02d", n/4), "pool": []string{"counter", "stretch"}[n%2], "address": "127.0.0.1:9",
		})
	}
	l.startPlatform(hosts)
	var members []member
	for n := range todayEntryHosts {
		members = append(members, member{fmt.Sprintf("e%d", n+1), []string{"fukuoka", "kumamoto", "kagoshima"}[n%3], l.address(), l.address()})
	}
	l.startEntries(members)
	l.write("configuration.yaml", sessionConfiguration)
	l.await("the opening", func() bool {
		_, status := l.run("command", "--address", members[0].url(), "--file", "configuration.yaml", "--id", "opening", "apply configuration")
		return status == 0
	})
	l.await("all hosts", func() bool {
		out, _ := l.run("query", "--address", members[6].url(), "hosts where state = active")
		return strings.Count(out, "\n") == todayHosts+1
	})
	for b.Loop() {
		cpu, out := l.processorTime("e1"), l.peerBytes(members[0])
		<-time.After(restPeriod)
		b.ReportMetric(100*(l.processorTime("e1")-cpu).Seconds()/restPeriod.Seconds(), "%-of-a-core")
		b.ReportMetric((l.peerBytes(members[0])-out)/restPeriod.Seconds(), "peer-B/s")
		b.ReportMetric(l.residentMiB("e1"), "resident-MiB")
	}
}

func (l *lab) processFile(name, file string) string {
	l.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", l.running[name].Process.Pid, file))
	must.NoError(l.t, err)
	return string(text)
}

// processorTime returns the user and system time of the process so far.
func (l *lab) processorTime(name string) time.Duration {
	l.t.Helper()
	_, rest, _ := strings.Cut(l.processFile(name, "stat"), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	must.NoError(l.t, err)
	system, err := strconv.Atoi(fields[12])
	must.NoError(l.t, err)
	return time.Duration(user+system) * time.Second / clockTicks
}

func (l *lab) residentMiB(name string) float64 {
	l.t.Helper()
	for _, line := range strings.Split(l.processFile(name, "status"), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			must.NoError(l.t, err)
			return float64(kb) / 1024
		}
	}
	return 0
}

// peerBytes returns the bytes to and from all peers so far.
func (l *lab) peerBytes(m member) float64 {
	l.t.Helper()
	out, _ := l.run("query", "--address", m.url(), "--format", "table", "peers")
	total := 0.0
	for _, line := range strings.Split(out, "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		for _, f := range fields[len(fields)-2:] {
			n, err := strconv.ParseFloat(f, 64)
			must.NoError(l.t, err)
			total += n
		}
	}
	return total
}
