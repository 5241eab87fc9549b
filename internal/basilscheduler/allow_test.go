package basilscheduler

import (
	"testing"

	"github.com/shoenig/test/must"
)

// TestNoMoreStartsThanAllowed leaves tasks waiting that could not be sent, and starts a gang whole or not.
func TestNoMoreStartsThanAllowed(t *testing.T) {
	f := newFixture(t, backendOf("b1", 64000))
	f.add("j", stepOf(20, 1000))
	f.Allow(0)
	must.SliceEmpty(t, f.begin())
	f.Allow(3)
	must.Len(t, 3, f.begin())
	must.Len(t, 3, f.begin())
	f.Cancel("j", f.now)
	gang := stepOf(4, 1000)
	gang.Gang = true
	f.add("k", gang)
	f.Allow(1)
	must.Len(t, 4, f.begin())
}
