package basilwork_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilwork"
)

func TestStoreClockBounds(t *testing.T) {
	var none *basilwork.StoreClock
	none.Record(time.Hour, none.Local())
	_, _, ok := none.Bounds()
	must.False(t, ok)

	local := 10 * time.Second
	c := basilwork.NewStoreClock(func() time.Duration { return local })
	_, _, ok = c.Bounds()
	must.False(t, ok)
	sent := local
	local += 40 * time.Millisecond
	c.Record(500*time.Second, sent)
	local += time.Second
	earliest, latest, ok := c.Bounds()
	must.True(t, ok)
	must.Eq(t, 501*time.Second, earliest)
	must.Eq(t, 501*time.Second+40*time.Millisecond, latest)

	c.Record(300*time.Second, sent-time.Second) // the answer to an earlier call
	unchanged, _, _ := c.Bounds()
	must.Eq(t, earliest, unchanged)
}
