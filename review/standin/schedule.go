package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	scheduleInterval = 15 // milliseconds between the times of the job
	scheduleID       = "00000000005c4ed1"
	scheduleTimes    = 4000
	scheduleFew      = 400 // without trouble
	scheduleSmall    = 10
)

func init() { plays["schedule"] = playSchedule }

// playSchedule hands in a job that runs many times, and short jobs once it has run so often. All have to be shown as completed.
func playSchedule(w *world, trouble bool) ([]string, error) {
	w.open(func(task string, _ int) (time.Duration, bool) {
		if strings.HasPrefix(task, scheduleID) {
			return 20 * time.Millisecond, false
		}
		return 400 * time.Millisecond, false
	}, fmt.Sprintf(quoteConfig, 1))
	w.site.AddPool("stretch", 8, 32000, 65536, false)
	if err := w.startHosts(); err != nil {
		return nil, err
	}
	times := scheduleTimes
	if !trouble {
		times = scheduleFew
	}
	body := fmt.Sprintf(`{"spec":"tick","steps":[{"count":1,"cpu":500,"mem_mb":128,"estimate_ms":20}],"repeat_count":%d,"initial_delay_ms":%d,"interval_ms":%d}`,
		times, time.Now().Add(time.Second).UnixMilli(), scheduleInterval)
	if !w.submit("/quote/", scheduleID, body, 4) {
		return nil, fmt.Errorf("the scheduled job was not accepted")
	}
	last := time.Now().Add(time.Second + time.Duration(times)*scheduleInterval*time.Millisecond)
	time.Sleep(time.Until(last) + 3*time.Second)
	w.note("all times of the scheduled job are past; it is shown as %s, %d ends are listed", w.state("/quote/", scheduleID), w.site.EndsListed("stretch"))
	var ids []string
	for n := range scheduleSmall {
		id := fmt.Sprintf("%016x", 0x50000+n)
		if !w.submit("/quote/", id, `{"spec":"toe","steps":[{"count":2,"cpu":1000,"mem_mb":512,"estimate_ms":400}]}`, 4) {
			return nil, fmt.Errorf("job %s was not accepted", id)
		}
		ids = append(ids, id)
	}
	time.Sleep(finishTime + time.Second)
	var broken []string
	for _, id := range append(ids, scheduleID) {
		state := w.state("/quote/", id)
		w.note("%s is shown as %s", id, state)
		if state != "completed" {
			broken = append(broken, fmt.Sprintf("%s is shown as %s", id, state))
		}
	}
	w.note("%d ends are listed", w.site.EndsListed("stretch"))
	return broken, nil
}
