package basilpeer

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func deltas() *rapid.Generator[Delta] {
	return rapid.Custom(func(t *rapid.T) Delta {
		host := rapid.SampledFrom([]string{"a", "b", "c"})
		return Delta{
			Sequence: rapid.Int64Range(0, 50).Draw(t, "sequence"),
			Revision: rapid.Int64Range(0, 50).Draw(t, "revision"),
			Entries:  rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 8), 0, 3).Draw(t, "entries"),
			Leaving: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) LeavingHost {
				return LeavingHost{Host: host.Draw(t, "host"), Epoch: rapid.Int64Range(0, 9).Draw(t, "epoch")}
			}), 0, 3).Draw(t, "leaving"),
			Load: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) PoolLoad {
				return PoolLoad{Pool: host.Draw(t, "pool"), Slots: rapid.IntRange(0, 64).Draw(t, "slots")}
			}), 0, 3).Draw(t, "load"),
			Ready:    rapid.Bool().Draw(t, "ready"),
			Stopping: rapid.Bool().Draw(t, "stopping"),
		}
	})
}

// TestDeltaQueueProperty checks that a peer that reads late learns all that a peer that reads at once does.
func TestDeltaQueueProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(deltas(), 1, 8).Draw(t, "sent")
		q := newDeltaQueue()
		var newest Delta
		epochs, loads, entries := map[string]int64{}, map[string]int{}, 0
		for _, d := range sent {
			q.put(d)
			newest.Sequence, newest.Revision = max(newest.Sequence, d.Sequence), max(newest.Revision, d.Revision)
			entries += len(d.Entries)
			for _, h := range d.Leaving {
				epochs[h.Host] = max(epochs[h.Host], h.Epoch)
			}
			for _, l := range d.Load {
				loads[l.Pool] = l.Slots
			}
		}
		got, filled := q.take()
		must.True(t, filled)
		must.Eq(t, newest.Sequence, got.Sequence)
		must.Eq(t, newest.Revision, got.Revision)
		must.Len(t, entries, got.Entries)
		must.Eq(t, sent[len(sent)-1].Ready, got.Ready)
		must.Eq(t, sent[len(sent)-1].Stopping, got.Stopping)
		must.MapLen(t, len(epochs), byHost(got.Leaving, func(h LeavingHost) string { return h.Host }))
		for _, h := range got.Leaving {
			must.Eq(t, epochs[h.Host], h.Epoch)
		}
		must.MapLen(t, len(loads), byHost(got.Load, func(l PoolLoad) string { return l.Pool }))
		for _, l := range got.Load {
			must.Eq(t, loads[l.Pool], l.Slots)
		}
		_, filled = q.take()
		must.False(t, filled)
	})
}

func byHost[T any](items []T, key func(T) string) map[string]T {
	m := map[string]T{}
	for _, i := range items {
		m[key(i)] = i
	}
	return m
}

func TestDeltaQueueBounds(t *testing.T) {
	q := newDeltaQueue()
	big := make([]byte, 100<<10)
	for i := range 3 * maxQueuedHosts {
		q.put(Delta{
			Sequence: int64(i), Entries: [][]byte{big}, Answers: [][]byte{big},
			Leaving: []LeavingHost{{Host: fmt.Sprint(i % maxQueuedHosts)}},
		})
		if i > 100 {
			big = big[:1]
		}
	}
	d, _ := q.take()
	must.Eq(t, 3*maxQueuedHosts-1, int(d.Sequence))
	must.LessEq(t, maxQueuedEntryBytes, total(d.Entries))
	must.LessEq(t, maxQueuedAnswerBytes, total(d.Answers))
	must.Len(t, maxQueuedHosts, d.Leaving)
}

func total(messages [][]byte) int {
	sum := 0
	for _, m := range messages {
		sum += len(m)
	}
	return sum
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x01, 0x05})
	f.Add([]byte{0xa1, 0x03, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("not a message"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var d Delta
		if decoding.Unmarshal(b, &d) != nil {
			return
		}
		q := newDeltaQueue()
		q.put(d)
		q.put(d)
		_, filled := q.take()
		must.True(t, filled)
	})
}

func TestLiveness(t *testing.T) {
	for _, c := range []struct {
		name  string
		near  bool
		peers int
		want  liveness
	}{
		{"today, same data centre", true, 6, nearLiveness},
		{"today, other data centre", false, 6, nearLiveness},
		{"target, same data centre", true, 59, nearLiveness},
		{"target, other data centre", false, 59, farLiveness},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, livenessFor(c.near, c.peers))
			must.Less(t, c.want.unheardAfter, 2*c.want.heartbeatInterval)
			must.Less(t, idleTimeout, c.want.unheardAfter)
		})
	}
}
