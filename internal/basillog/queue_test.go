package basillog

import (
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
)

// stuck is a writer whose reader has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestQueueNeverBlocks drops lines that a reader does not take, and counts them.
func TestQueueNeverBlocks(t *testing.T) {
	s := stuck{make(chan struct{})}
	q := NewQueue(s)
	for range 3 * queuedLines {
		n, err := q.Write([]byte("line\n"))
		must.NoError(t, err)
		must.Eq(t, 5, n)
	}
	_, dropped := q.Counts()
	must.GreaterEq(t, queuedLines, dropped)
	close(s.release)
	<-q.Close()
	written, _ := q.Counts()
	must.Eq(t, (3*queuedLines-dropped)*5, written)
}

// TestQueueKeepsOrder writes what was queued, in order.
func TestQueueKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	q := NewQueue(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := q.Write([]byte(line))
		must.NoError(t, err)
	}
	<-q.Close()
	must.Eq(t, "a\nb\nc\n", out.String())
}
