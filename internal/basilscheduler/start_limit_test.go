package basilscheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestStartLimit checks that tasks beyond the limit on starts keep waiting, and that a gang is started as a whole or not at all.
func TestStartLimit(t *testing.T) {
	f := newFixture(t, backendOf("b1", 64000))
	f.addJob("j", stepOf(20, 1000))
	f.SetStartLimit(0)
	must.SliceEmpty(t, f.decideAndStart())
	f.SetStartLimit(3)
	must.Len(t, 3, f.decideAndStart())
	must.Len(t, 3, f.decideAndStart())
	f.Cancel("j", f.now)
	gang := stepOf(4, 1000)
	gang.Gang = true
	f.addJob("k", gang)
	f.SetStartLimit(1)
	must.Len(t, 4, f.decideAndStart())
}
