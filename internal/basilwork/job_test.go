package basilwork

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestStartTimeStaysInOrder(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tests := map[string]struct {
		first, interval time.Duration
		occurrence      int
		want            time.Time
	}{
		"first":                  {time.Minute, time.Hour, 0, time.Unix(60, 0)},
		"third":                  {time.Minute, time.Hour, 2, time.Unix(7260, 0)},
		"before 1970":            {-time.Hour, time.Minute, 61, time.Unix(60, 0)},
		"product overflows":      {0, math.MaxInt64, math.MaxInt64, time.UnixMilli(math.MaxInt64)},
		"sum overflows":          {math.MaxInt64, time.Millisecond, math.MaxInt64, time.UnixMilli(math.MaxInt64)},
		"from before, overflows": {math.MinInt64, math.MaxInt64, math.MaxInt64, time.UnixMilli(math.MaxInt64)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			j := Job{RepeatCount: math.MaxInt64, FirstStart: test.first, Interval: test.interval}
			must.True(t, test.want.Equal(j.StartTime(test.occurrence)), must.Sprint(j.StartTime(test.occurrence)))
		})
	}
	j := Job{RepeatCount: math.MaxInt64, FirstStart: math.MinInt64, Interval: 200 * 365 * 24 * time.Hour}
	must.True(t, j.StartTime(1).Before(now))
	must.True(t, j.StartTime(3).After(now), must.Sprint("later than a duration can say after the first"))
}

// TestDoneOccurrencesOfLongScheduleTakeNoRoom checks that a record keeps no progress of the first occurrences that are done, whatever the
// order in which they end, and lists all of them where releases before could.
func TestDoneOccurrencesOfLongScheduleTakeNoRoom(t *testing.T) {
	for _, count := range []int{listedOccurrences, listedOccurrences + 1} {
		r := Record{Job: Job{RepeatCount: count}}
		for _, n := range []int{2, 0, 5, 1, 3} {
			r.SetDone(n)
		}
		must.Eq(t, 5, r.CountDone())
		for n, done := range []bool{true, true, true, true, false, true, false} {
			must.Eq(t, done, r.IsDone(n))
		}
		if count == listedOccurrences {
			must.MapLen(t, 5, r.Progress)
			must.Eq(t, 0, r.LeadingDone)
			continue
		}
		must.MapLen(t, 1, r.Progress)
		must.Eq(t, 4, r.LeadingDone)
	}
}
