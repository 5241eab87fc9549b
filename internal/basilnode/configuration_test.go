package basilnode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestSilentWatchOfConfigurationIsNoticed checks that a configuration is applied in time if nothing but the watch of the configuration has gone
// silent, whenever that began, by the time that the entry host counts as in touch again (3 s) and the time to apply one (2 s).
func TestSilentWatchOfConfigurationIsNoticed(t *testing.T) {
	for phase := time.Duration(0); phase < 5*time.Second; phase += 300 * time.Millisecond {
		run(t, 1, 1, constant(time.Second), func(c *cluster) {
			c.configureRoutes(2, quoteAtStretch)
			time.Sleep(time.Second + phase)
			c.mutex.Lock()
			c.watchesSilentAt = time.Now()
			c.mutex.Unlock()
			time.Sleep(3 * time.Second)
			c.configureRoutes(3, quoteAtStretch, testRoute{"added", "/added/", "stretch"})
			time.Sleep(2 * time.Second)
			status, _ := c.call("entry-1", http.MethodGet, "/added/", "")
			must.Eq(c.t, http.StatusOK, status, must.Sprint(phase))
		})
	}
}
