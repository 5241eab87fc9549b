package basilentry_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// hopRunners is how many runners there are: their 8 slots each hold 512 callers.
const hopRunners = 64

// hopPayload is about the size of a quote.
var hopPayload = bytes.Repeat([]byte("q"), 200)

// BenchmarkEntryHop compares caller → entry host → runner with caller → runner, in one
// run on loopback: with jobs that take no time, which fill the processors, and with jobs of 5 ms.
func BenchmarkEntryHop(b *testing.B) {
	b.Run("no-work", func(b *testing.B) { hop(b, 84, basilstandin.BackendOptions{}) })
	b.Run("5ms", func(b *testing.B) {
		hop(b, 85, basilstandin.BackendOptions{RunTime: basilstandin.ConstantRunTime(5 * time.Millisecond)})
	})
}

func hop(b *testing.B, network byte, o basilstandin.BackendOptions) {
	b.Helper()
	c := newCluster(b, network, "fukuoka")
	for n := range hopRunners {
		c.addHost(fmt.Sprintf("f%02d", n), "fukuoka", "counter", o)
	}
	c.open(counterConfiguration())
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	submit, err := json.Marshal(basilapi.SubmitRequest{Service: "quote", Idempotent: true, Payload: hopPayload})
	must.NoError(b, err)
	direct := c.directCall(b, client)
	entry := func() bool {
		r, err := client.Post("http://"+c.nodes[0].http+"/v1/jobs", "application/json", bytes.NewReader(submit))
		if err != nil {
			return false
		}
		var a basilapi.JobAnswer
		whole := json.NewDecoder(r.Body).Decode(&a) == nil && bytes.Equal(a.Answer, basilstandin.DefaultAnswer(hopPayload))
		_ = r.Body.Close()
		return whole
	}
	for _, callers := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("direct/%d", callers), func(b *testing.B) { call(b, callers, direct) })
		b.Run(fmt.Sprintf("entry/%d", callers), func(b *testing.B) { call(b, callers, entry) })
	}
}

// directCall returns a call that goes to the runners in turn.
func (c *cluster) directCall(b *testing.B, client *http.Client) func() bool {
	b.Helper()
	listed, err := c.nodes[0].client.Query(b.Context(), "hosts")
	must.NoError(b, err)
	var addresses []string
	for _, r := range listed.Rows {
		addresses = append(addresses, r[len(r)-1])
	}
	var next atomic.Int64
	return func() bool {
		n := next.Add(1)
		r, err := http.NewRequest(http.MethodPost, "http://"+addresses[int(n)%len(addresses)]+basilapi.RunPath, bytes.NewReader(hopPayload))
		if err != nil {
			return false
		}
		r.Header.Set(basilapi.HeaderJob, fmt.Sprintf("direct-%d", n))
		r.Header.Set(basilapi.HeaderAttempt, "1")
		r.Header.Set(basilapi.HeaderService, "quote")
		answer, err := client.Do(r)
		if err != nil {
			return false
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		return err == nil && bytes.Equal(body, basilstandin.DefaultAnswer(hopPayload))
	}
}

// call keeps that many callers asking and reports what they waited for whole answers.
func call(b *testing.B, callers int, ask func() bool) {
	waits := make([]*hdrhistogram.Histogram, callers)
	var left, failed atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	began := time.Now()
	for n := range callers {
		waits[n] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		group.Go(func() {
			for left.Add(-1) >= 0 {
				asked := time.Now()
				if !ask() {
					failed.Add(1)
				}
				_ = waits[n].RecordValue(time.Since(asked).Microseconds())
			}
		})
	}
	group.Wait()
	took := time.Since(began)
	all := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for _, w := range waits {
		all.Merge(w)
	}
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(b.N)/took.Seconds(), "answers/s")
	b.ReportMetric(float64(failed.Load()), "not-whole")
}
