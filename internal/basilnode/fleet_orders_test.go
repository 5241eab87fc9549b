package basilnode

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilwork"
)

// TestStoredOrderReadsEarlierFormat checks that a row that names the nodes only is read, as one of unknown times.
func TestStoredOrderReadsEarlierFormat(t *testing.T) {
	var orders map[string]storedOrder
	must.NoError(t, json.Unmarshal([]byte(`{"h1":"entry-1","h2":{"node":"entry-2","store_ms":7}}`), &orders))
	must.Eq(t, map[string]storedOrder{"h1": {Node: "entry-1"}, "h2": {Node: "entry-2", At: 7}}, orders)
}

// TestStoredTimeOfOrders checks that the stored time of an order is never before the platform carried it out.
func TestStoredTimeOfOrders(t *testing.T) {
	const delay = 3300 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		clock := basilwork.NewStoreClock(func() time.Duration { return time.Since(began) })
		clock.Record(100*time.Second, 0)
		var r recentOrders
		at := func(host string) time.Duration {
			o, ok := r.stored(clock, time.Now(), delay)[host]
			if !ok {
				return 0
			}
			return time.Duration(o.At-1)*time.Millisecond - 100*time.Second // less the rounding
		}
		r.add([]basilcapacity.Order{{Machine: "h"}}, "entry-1", time.Now())
		must.Eq(t, lateOrderTime, at("h"))
		time.Sleep(400 * time.Millisecond)
		r.ended("h", nil, time.Now())
		must.Eq(t, 400*time.Millisecond, at("h"))
		time.Sleep(time.Second)
		must.Eq(t, 400*time.Millisecond, at("h"))

		r.add([]basilcapacity.Order{{Machine: "h"}}, "entry-1", time.Now())
		r.ended("h", basilwork.ErrMachineRefused{Reason: "busy"}, time.Now())
		must.Eq(t, 1400*time.Millisecond, at("h"))
		r.ended("h", context.DeadlineExceeded, time.Now())
		must.Eq(t, 1400*time.Millisecond+lateOrderTime, at("h"), must.Sprint("may still be carried out"))
		time.Sleep(lateOrderTime + delay + time.Millisecond)
		must.Eq(t, 0, at("h"))
	})
}
