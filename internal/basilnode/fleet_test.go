package basilnode_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestFleetDecidesOnManyEventsAtOnce checks that one decision covers many events. With a decision for each event, lists of
// hosts and answers of pools would wait behind decisions that are already out of date.
func TestFleetDecidesOnManyEventsAtOnce(t *testing.T) {
	run(t, 1, 4, constant(time.Second), func(c *cluster) {
		before := c.metric("fleet_step_ms_count")
		for range 2000 {
			must.True(t, c.hosts["entry-1"].node.SendFleet(func(time.Time) {}))
			time.Sleep(time.Millisecond)
		}
		must.Between(t, 2000/250, c.metric("fleet_step_ms_count")-before, 2000/50+1) // + 1, since both ends of the interval count
	})
}

// submitBurst submits a burst of work for a pool. Repeated, it makes the pool's demand rise and fall, so that hosts are moved
// all the time.
func (c *cluster) submitBurst(first int) {
	wide := `{"spec":"x","steps":[{"count":10,"cpu":6000,"mem_mb":512,"estimate_ms":900}]}`
	for n := range 4 {
		for name := range c.hosts {
			if c.submit(name, quotePrefix, jobID(first+n), wide) == http.StatusOK {
				break
			}
		}
	}
}

// TestFirstOrderAfterChangeOfHolder checks that a new owner of the fleet soon sends orders for hosts. It must hold back only
// those for hosts that its predecessor may have given orders for within the minimum time between different holders' orders.
func TestFirstOrderAfterChangeOfHolder(t *testing.T) {
	const takeover = 3200 * time.Millisecond // the lease, its last renewal that was not seen yet, and the claim
	cases := []struct {
		name   string
		within time.Duration // limit from the change of owner to the first order
		change func(c *cluster, name string)
	}{
		{"stopped", 300 * time.Millisecond, func(c *cluster, name string) { go c.hosts[name].node.Stop(context.Background()) }},
		{"killed", takeover, func(c *cluster, name string) { c.kill(name) }},
		{"delayed", takeover, func(c *cluster, name string) { c.delay(name, 6*time.Second) }},
		{"cut off", takeover, func(c *cluster, name string) { c.hosts[name].link.SetCut(true) }},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			run(t, 3, 2, constant(900*time.Millisecond), func(c *cluster) {
				c.site.AddPool("spare", 40, 16000, 65536, true)
				time.Sleep(5 * time.Second)
				c.submitBurst(1)
				time.Sleep(700 * time.Millisecond)
				must.Positive(t, len(c.site.Orders()))
				name := c.owner("fleet")
				changed := time.Now()
				x.change(c, name)
				for n := range 12 {
					c.submitBurst(10 * (n + 1))
					time.Sleep(400 * time.Millisecond)
				}
				for _, o := range c.site.Orders() {
					if o.Holder != name {
						must.LessEq(t, x.within, o.At.Sub(changed))
						return
					}
				}
				t.Fatal("the new owner sent no order")
			})
		})
	}
}

// TestReturnedHostsAfterRestartOfFleetOwner replays a peak that begins while members are restarted in turn: nearly all hosts
// were ordered back to the standby pool seconds before. The new owner of the fleet must wait only for the rest of the minimum
// time between different holders' orders for a host.
func TestReturnedHostsAfterRestartOfFleetOwner(t *testing.T) {
	const (
		sinceOrders = 2500 * time.Millisecond // from the last orders to the restart
		holdBack    = 3300 * time.Millisecond // minimum time between different holders' orders for a host, and for carrying them out
		reaction    = 900 * time.Millisecond  // until the new owner sees the demand and orders
	)
	run(t, 3, 2, constant(900*time.Millisecond), func(c *cluster) {
		c.site.AddPool("spare", 2, 16000, 65536, true)
		time.Sleep(5 * time.Second)
		name, spare := c.owner("fleet"), len(c.site.Machines("spare"))
		for n := range 3 {
			c.submitBurst(10 * (n + 1))
			time.Sleep(300 * time.Millisecond)
		}
		for range 200 { // until the hosts have been given back
			if time.Sleep(50 * time.Millisecond); len(c.site.Machines("spare")) == spare {
				break
			}
		}
		ordered := c.site.Orders()
		must.GreaterEq(t, spare+1, len(ordered)) // some there and back
		time.Sleep(sinceOrders - time.Since(ordered[len(ordered)-1].At))
		changed := time.Now()
		go c.hosts[name].node.Stop(context.Background())
		for n := range 6 {
			c.submitBurst(10 * (n + 11))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(holdBack)
		returned := ordered[len(ordered)-1].Machine
		for _, o := range c.site.Orders()[len(ordered):] {
			if o.Machine == returned {
				must.LessEq(t, holdBack-sinceOrders+reaction, o.At.Sub(changed))
				return
			}
		}
		t.Fatal("the new owner sent no order for a host that had been returned")
	})
}

// TestHostsAreUsedAfterUnansweredMaintenance checks that all hosts are used soon after maintenance orders were carried out
// but their responses lost: the platform accepts the repeated order and does nothing.
func TestHostsAreUsedAfterUnansweredMaintenance(t *testing.T) {
	run(t, 2, 6, constant(5*time.Second), func(c *cluster) {
		c.site.AddPool("spare", 6, 16000, 65536, true)
		c.site.AskWave(1, c.site.Machines("stretch"), 12, 3)
		c.site.SetOrdersSilent(true)
		time.Sleep(4 * time.Second)
		c.site.SetOrdersSilent(false)
		time.Sleep(10 * time.Second)
		must.Eq(c.t, `{"state":"completed"}`, c.site.WaveState(1))
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), fmt.Sprintf(wholeHost, 14)))
		time.Sleep(4 * time.Second)
		must.Eq(c.t, len(c.site.Backends("stretch")), c.site.Running(jobID(1)))
	})
}

// TestHostAddedShortlyBeforeWaveIsMaintained checks that a wave isn't completed before the maintenance of a host that was added since the
// hosts were last listed, also by a fleet owner that takes over meanwhile.
func TestHostAddedShortlyBeforeWaveIsMaintained(t *testing.T) {
	for _, x := range []struct {
		name string
		kill bool
	}{{"same owner", false}, {"new owner", true}} {
		t.Run(x.name, func(t *testing.T) {
			run(t, 3, 3, constant(time.Second), func(c *cluster) {
				c.site.AddPool("spare", 2, 16000, 65536, true)
				time.Sleep(12 * time.Second) // hosts are listed seldom by then
				before := c.site.Machines("stretch")
				c.site.AddPool("stretch", 1, 16000, 65536, false)
				added := slices.DeleteFunc(c.site.Machines("stretch"), func(id string) bool { return slices.Contains(before, id) })
				must.Len(t, 1, added)
				time.Sleep(300 * time.Millisecond)
				asked := time.Now()
				c.site.AskWave(1, added, 20, 1)
				if x.kill {
					c.kill(c.owner("fleet"))
				}
				for range 200 {
					if time.Sleep(100 * time.Millisecond); c.site.WaveState(1) == `{"state":"completed"}` {
						must.SliceContainsFunc(t, c.site.Orders(), added[0], func(o basilfake.Order, id string) bool { return o.Machine == id && o.At.After(asked) })
						return
					}
				}
				t.Fatal("the wave was not completed")
			})
		})
	}
}

// TestTaskOfWholeHostBesideLongRunningTasks checks that a task which needs a whole host is started although long-running tasks take a
// small part of each host of its pool, as long as there are hosts to spare.
func TestTaskOfWholeHostBesideLongRunningTasks(t *testing.T) {
	run(t, 1, 3, constant(900*time.Millisecond), func(c *cluster) {
		must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
		time.Sleep(2 * time.Second)
		must.Eq(t, 3, c.site.Running(longRunningID))
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), `{"spec":"x","steps":[{"count":1,"cpu":16000,"mem_mb":16,"estimate_ms":900}]}`))
		c.await(quotePrefix, jobID(1), "completed", 14*time.Second)
	})
}

// TestGangOfWholeHostsBesideLongRunningTasks checks that a gang gets the hosts that it lacks, all at once, and that they are given back.
func TestGangOfWholeHostsBesideLongRunningTasks(t *testing.T) {
	run(t, 1, 6, constant(900*time.Millisecond), func(c *cluster) {
		must.Eq(t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, strings.Replace(longRunningJob, `"count":3`, `"count":6`, 1)))
		time.Sleep(2 * time.Second)
		must.Eq(t, 6, c.site.Running(longRunningID))
		must.Eq(t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), `{"spec":"x","steps":[{"count":2,"cpu":16000,"mem_mb":16,"estimate_ms":900,"gang":true}]}`))
		c.await(quotePrefix, jobID(1), "completed", 14*time.Second)
		time.Sleep(6 * time.Second)
		must.Len(t, 2, c.site.Machines("spare"))
	})
}
