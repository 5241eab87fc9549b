package basilnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/platform/basilfake"
)

// TestFailures checks that a job completes, and runs only once, in spite of one or two failures while it runs.
func TestFailures(t *testing.T) {
	cases := []struct {
		name   string
		within time.Duration
		fail   func(c *cluster)
	}{
		{"owner killed", 12 * time.Second, func(c *cluster) { c.kill(c.owner("stretch")) }},
		{"owner killed and started again", 9 * time.Second, func(c *cluster) {
			name := c.owner("stretch")
			c.kill(name)
			c.start(name)
		}},
		{"owner stopped", 5 * time.Second, func(c *cluster) { c.stop(c.owner("stretch")) }},
		{"owner disconnected from everything", 15 * time.Second, func(c *cluster) {
			h := c.hosts[c.owner("stretch")]
			h.link.SetCut(true)
			time.AfterFunc(8*time.Second, func() { h.link.SetCut(false) })
		}},
		{"all killed and started again", 9 * time.Second, func(c *cluster) {
			for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
				c.kill(name)
			}
			for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
				c.start(name)
			}
		}},
		{"store silent", 12 * time.Second, func(c *cluster) { c.storeFault(5*time.Second, basilfake.StoreFaults{Silent: true}) }},
		{"store busy", 12 * time.Second, func(c *cluster) { c.storeFault(5*time.Second, basilfake.StoreFaults{Busy: true}) }},
		{"store silent for long", 30 * time.Second, func(c *cluster) { c.storeFault(14*time.Second, basilfake.StoreFaults{Silent: true}) }},
		{"store's answers lost", 12 * time.Second, func(c *cluster) { c.storeFault(4*time.Second, basilfake.StoreFaults{LoseAnswers: true}) }},
		{"store's writes late", 14 * time.Second, func(c *cluster) { c.storeFault(4*time.Second, basilfake.StoreFaults{LateBy: 2 * time.Second}) }},
		{"store slow", 12 * time.Second, func(c *cluster) { c.storeFault(5*time.Second, basilfake.StoreFaults{Delay: 300 * time.Millisecond}) }},
		{"history dropped", 6 * time.Second, func(c *cluster) { c.site.Store.DropHistory() }},
		{"backend server crashed", 14 * time.Second, func(c *cluster) { c.site.Crash(c.busiest(), 20*time.Second) }},
		{"backend server started again under its id", 6 * time.Second, func(c *cluster) { c.site.Reborn(c.busiest()) }},
		{"backend server silent", 16 * time.Second, func(c *cluster) {
			b := c.busiest()
			c.site.SetFaults(b, basilfake.BackendFaults{Silent: true})
			time.AfterFunc(9*time.Second, func() { c.site.SetFaults(b, basilfake.BackendFaults{}) })
		}},
		{"starts carried out late", 20 * time.Second, func(c *cluster) {
			for _, b := range c.site.Backends("stretch") {
				c.site.SetFaults(b, basilfake.BackendFaults{LateBy: 2500 * time.Millisecond})
				time.AfterFunc(3*time.Second, func() { c.site.SetFaults(b, basilfake.BackendFaults{}) })
			}
		}},
		{"store refuses owner's connections", 15 * time.Second, func(c *cluster) {
			h := c.hosts[c.owner("stretch")]
			h.link.Refuse(basilfake.StoreAddress)
			time.AfterFunc(8*time.Second, func() { h.link.Refuse("") })
		}},
		{"owner's calls delayed", 15 * time.Second, func(c *cluster) { c.delay(c.owner("stretch"), 7*time.Second) }},
		{"fleet owner's calls delayed", 9 * time.Second, func(c *cluster) { c.delay(c.owner("fleet"), 7*time.Second) }},
		{"all calls delayed", 20 * time.Second, func(c *cluster) {
			for name := range c.hosts {
				c.delay(name, 5*time.Second)
			}
		}},
		{"backend server leaves", 9 * time.Second, func(c *cluster) { c.site.Drain(c.busiest(), 9*time.Second, time.Hour) }},
		{"store silent and owner killed", 18 * time.Second, func(c *cluster) {
			c.storeFault(4*time.Second, basilfake.StoreFaults{Silent: true})
			c.kill(c.owner("stretch"))
		}},
		{"backend server crashed and owner killed", 28 * time.Second, func(c *cluster) {
			c.site.Crash(c.busiest(), 20*time.Second)
			c.kill(c.owner("stretch"))
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, 3, 4, constant(900*time.Millisecond), func(c *cluster) {
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
				must.Eq(c.t, http.StatusOK, c.submit("entry-2", longPrefix, longRunningID, longRunningJob))
				time.Sleep(400 * time.Millisecond)
				tc.fail(c)
				c.await(quotePrefix, jobID(1), "completed", tc.within)
				time.Sleep(8 * time.Second)
				must.Eq(c.t, 3, c.site.Running(longRunningID))
			})
		})
	}
}

// TestHandoverDoesNotWaitForIdleBackendServers checks that a job continues soon after its shard was handed over, even if a
// backend server that was used before, but has no runs any more, never answers.
func TestHandoverDoesNotWaitForIdleBackendServers(t *testing.T) {
	run(t, 3, 4, constant(900*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(400 * time.Millisecond)
		for _, b := range c.site.Backends("stretch") {
			if c.site.RunsOn(b) == 0 {
				c.site.Crash(b, time.Minute)
				break
			}
		}
		c.stop(c.owner("stretch"))
		c.await(quotePrefix, jobID(1), "completed", 3*time.Second)
	})
}

// storeFault applies faults to the store for the given time.
func (c *cluster) storeFault(d time.Duration, f basilfake.StoreFaults) {
	c.site.Store.SetFaults(f)
	time.AfterFunc(d, func() { c.site.Store.SetFaults(basilfake.StoreFaults{}) })
}

// busiest returns a backend server of the pool with the most runs.
func (c *cluster) busiest() *basilfake.Backend {
	var found *basilfake.Backend
	most := 0
	for _, b := range c.site.Backends("stretch") {
		if n := c.site.RunsOn(b); found == nil || n > most {
			found, most = b, n
		}
	}
	return found
}

// TestRefusedWhileStoreUnavailable checks that jobs are refused at once, with a Retry-After header, while the store doesn't
// answer, and that refused jobs never run.
func TestRefusedWhileStoreUnavailable(t *testing.T) {
	run(t, 2, 3, constant(200*time.Millisecond), func(c *cluster) {
		c.storeFault(8*time.Second, basilfake.StoreFaults{Silent: true})
		time.Sleep(4 * time.Second)
		for n, name := range []string{c.owner("stretch"), c.other("stretch")} {
			asked := time.Now()
			must.Eq(c.t, http.StatusServiceUnavailable, c.submit(name, quotePrefix, jobID(n), twoSteps))
			must.Less(c.t, 50*time.Millisecond, time.Since(asked))
		}
		time.Sleep(15 * time.Second)
		for n := range 2 {
			must.Eq(c.t, "Gone", c.state("entry-2", quotePrefix, jobID(n)))
		}
	})
}

// TestUnknownAcceptance checks that a submission is answered with 504 when it is unknown whether the job was stored, and
// that the job runs once if it was.
func TestUnknownAcceptance(t *testing.T) {
	run(t, 2, 3, constant(200*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(2), twoSteps)) // assigns the queue
		c.storeFault(4*time.Second, basilfake.StoreFaults{LateBy: 3500 * time.Millisecond})
		must.Eq(c.t, http.StatusGatewayTimeout, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(4 * time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 5*time.Second)
	})
}

// TestCancelOfRunningJob checks that all runs of a cancelled job end soon, and that it is reported as cancelled at once.
func TestCancelOfRunningJob(t *testing.T) {
	run(t, 3, 3, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(time.Second)
		must.Eq(c.t, 3, c.site.Running(jobID(1)))
		status, _ := c.call(c.other("stretch"), http.MethodDelete, quotePrefix+jobID(1), "")
		must.Eq(c.t, http.StatusOK, status)
		must.Eq(c.t, "canceled", c.state("entry-2", quotePrefix, jobID(1)))
		time.Sleep(time.Second)
		must.Eq(c.t, 0, c.site.Running(jobID(1)))
	})
}

// TestCancelWhileStoreSilent checks that a job isn't reported as missing because the store doesn't answer.
func TestCancelWhileStoreSilent(t *testing.T) {
	run(t, 2, 3, constant(20*time.Second), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		time.Sleep(time.Second)
		c.storeFault(4*time.Second, basilfake.StoreFaults{Silent: true})
		for _, method := range []string{http.MethodDelete, http.MethodGet} {
			status, _ := c.call("entry-2", method, quotePrefix+jobID(1), "")
			must.Eq(c.t, http.StatusServiceUnavailable, status, must.Sprint(method))
		}
		time.Sleep(5 * time.Second)
		must.Eq(c.t, "active", c.state("entry-2", quotePrefix, jobID(1)))
		status, _ := c.call("entry-2", http.MethodDelete, quotePrefix+jobID(1), "")
		must.Eq(c.t, http.StatusOK, status)
	})
}

// TestWaitingJobsCount checks that jobs that have not started are counted, also while their shard has no owner.
func TestWaitingJobsCount(t *testing.T) {
	run(t, 3, 1, constant(30*time.Second), func(c *cluster) {
		large := `{"spec":"x","steps":[{"count":1,"cpu":16000,"mem_mb":512,"estimate_ms":500}]}`
		for n := range 6 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), large))
		}
		time.Sleep(5 * time.Second) // both spare hosts have been added by now
		_, body := c.call("entry-2", http.MethodGet, quotePrefix, "")
		must.Eq(c.t, `{"waiting":3}`, body)
		c.kill(c.owner("stretch"))
		for name := range c.hosts {
			must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(9), large))
			_, body = c.call(name, http.MethodGet, quotePrefix, "")
			must.Eq(c.t, `{"waiting":4}`, body)
		}
	})
}

// TestWave checks that every host of a wave is maintained without ending long-running tasks, also if owners change
// meanwhile.
func TestWave(t *testing.T) {
	for _, kill := range []string{"", "fleet", "stretch"} {
		t.Run("kill "+kill, func(t *testing.T) {
			run(t, 3, 5, constant(500*time.Millisecond), func(c *cluster) {
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
				time.Sleep(2 * time.Second)
				c.site.AskWave(1, append(c.site.Machines("stretch"), c.site.Machines("spare")...), 40, 2)
				time.Sleep(3 * time.Second)
				if kill != "" {
					c.kill(c.owner(kill))
				}
				for n := range 30 {
					for name := range c.hosts {
						must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(100+n), twoSteps))
						break
					}
					time.Sleep(time.Second)
				}
				time.Sleep(12 * time.Second)
				must.Eq(c.t, `{"state":"completed"}`, c.site.WaveState(1))
				must.Eq(c.t, 3, c.site.Running(longRunningID))
				for n := range 30 {
					c.await(quotePrefix, jobID(100+n), "completed", time.Second)
				}
			})
		})
	}
}

// TestWaveAmongManyOthers checks that a wave is carried out if it is listed after one that can't be decoded and after more
// than a page of others.
func TestWaveAmongManyOthers(t *testing.T) {
	const page = 500 // maximum number of rows in one answer of the store
	run(t, 3, 5, constant(500*time.Millisecond), func(c *cluster) {
		for n := range page {
			c.site.AskWave(1000+n, nil, 40, 2)
		}
		c.site.PutWave(10, `{"wave":10,"machines":`)
		c.site.AskWave(9, c.site.Machines("stretch"), 40, 2)
		time.Sleep(40 * time.Second)
		must.Eq(c.t, `{"state":"completed"}`, c.site.WaveState(9))
	})
}

// TestStoreWithoutCrossPartitionTransactions checks that shards are taken over and that hosts are moved and maintained if
// the store limits each transaction to one partition.
func TestStoreWithoutCrossPartitionTransactions(t *testing.T) {
	run(t, 0, 5, constant(500*time.Millisecond), func(c *cluster) {
		c.site.Store.SetSinglePart()
		c.singlePartition = true
		for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
			c.start(name)
		}
		time.Sleep(3 * time.Second)
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
		time.Sleep(2 * time.Second)
		c.site.AskWave(1, append(c.site.Machines("stretch"), c.site.Machines("spare")...), 40, 2)
		for _, shard := range []string{"fleet", "stretch"} {
			time.Sleep(3 * time.Second)
			c.kill(c.owner(shard))
		}
		time.Sleep(35 * time.Second)
		must.Eq(c.t, `{"state":"completed"}`, c.site.WaveState(1))
		must.Eq(c.t, 3, c.site.Running(longRunningID))
	})
}

// TestPeakBorrowsStandbyHosts checks that hosts are moved from the standby pool while work waits, and returned afterwards.
func TestPeakBorrowsStandbyHosts(t *testing.T) {
	run(t, 3, 4, constant(900*time.Millisecond), func(c *cluster) {
		time.Sleep(8 * time.Second)
		before := len(c.site.Backends("stretch"))
		wide := `{"spec":"x","steps":[{"count":8,"cpu":4000,"mem_mb":512,"estimate_ms":900}]}`
		for n := range 12 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(n), wide))
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(2500 * time.Millisecond)
		must.Greater(c.t, before, len(c.site.Backends("stretch")))
		for n := range 12 {
			c.await(quotePrefix, jobID(n), "completed", 10*time.Second)
		}
		time.Sleep(10 * time.Second)
		must.Eq(c.t, before, len(c.site.Backends("stretch")))
	})
}

// TestRollingRestart checks that each job runs once while all entry hosts are restarted one after the other.
func TestRollingRestart(t *testing.T) {
	run(t, 3, 4, constant(700*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
		for n := range 3 {
			name := fmt.Sprintf("entry-%d", n+1)
			for i := range 5 {
				must.Eq(c.t, http.StatusOK, c.submit(name, quotePrefix, jobID(10*n+i), twoSteps))
			}
			c.stop(name)
			time.Sleep(500 * time.Millisecond)
			c.start(name)
			time.Sleep(2 * time.Second)
		}
		for n := range 3 {
			for i := range 5 {
				c.await(quotePrefix, jobID(10*n+i), "completed", 8*time.Second)
			}
		}
		must.Eq(c.t, 3, c.site.Running(longRunningID))
	})
}

// TestChangesSeenAfterStoreSilent checks that new jobs, peaks and configurations are noticed soon after the store answers
// again, even though the watches that were open when it stopped answering are never answered.
func TestChangesSeenAfterStoreSilent(t *testing.T) {
	for _, f := range []basilfake.StoreFaults{{Silent: true}, {LoseAnswers: true}} {
		t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
			run(t, 3, 3, constant(900*time.Millisecond), func(c *cluster) {
				time.Sleep(5 * time.Second)
				c.storeFault(2*time.Second, f)
				time.Sleep(2100 * time.Millisecond)
				before := len(c.site.Backends("stretch"))
				wide := `{"spec":"x","steps":[{"count":8,"cpu":6000,"mem_mb":512,"estimate_ms":900}]}`
				for n := range 6 {
					c.submitUntilAccepted(quotePrefix, jobID(n), wide)
				}
				time.Sleep(4500 * time.Millisecond)
				must.Greater(c.t, before, len(c.site.Backends("stretch")))
				c.site.Configure(fmt.Sprintf(configuration, 2, `},{"name":"new","host":"shop.example","path_prefix":"/new/","service":"stretch","timeout_ms":3000,"max_attempts":3`))
				time.Sleep(1500 * time.Millisecond)
				for name := range c.hosts {
					must.Eq(c.t, http.StatusOK, c.submit(name, "/new/", jobID(20), twoSteps))
				}
				for n := range 6 {
					c.await(quotePrefix, jobID(n), "completed", 2*time.Second)
				}
			})
		})
	}
}

// submitUntilAccepted submits a job to the entry hosts in turn until it is accepted, for 3 s at most.
func (c *cluster) submitUntilAccepted(prefix, id, body string) {
	c.t.Helper()
	for range 30 {
		for name := range c.hosts {
			if c.submit(name, prefix, id, body) == http.StatusOK {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("job %s was not accepted in 30 rounds", id)
}

// TestDrainingBackendServer checks that a draining backend server gets no more tasks and that its long-running tasks are
// moved, while jobs keep being submitted.
func TestDrainingBackendServer(t *testing.T) {
	run(t, 3, 4, constant(700*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
		time.Sleep(2 * time.Second)
		c.site.Drain(c.busiest(), 8*time.Second, time.Hour)
		for n := range 20 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(n), twoSteps))
			time.Sleep(300 * time.Millisecond)
		}
		must.Eq(c.t, 3, c.site.Running(longRunningID))
		time.Sleep(4 * time.Second)
		for n := range 20 {
			c.await(quotePrefix, jobID(n), "completed", time.Second)
		}
		must.Eq(c.t, 3, c.site.Running(longRunningID))
	})
}

// TestNewFleetOwnerDelaysOrders checks that a host gets no order from a new fleet owner soon after one from the last owner.
func TestNewFleetOwnerDelaysOrders(t *testing.T) {
	run(t, 3, 3, constant(300*time.Millisecond), func(c *cluster) {
		wide := `{"spec":"x","steps":[{"count":8,"cpu":6000,"mem_mb":512,"estimate_ms":300}]}`
		for round := range 6 {
			before := len(c.site.Backends("stretch"))
			for n := range 6 {
				must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(10*round+n), wide))
			}
			for range 40 {
				if len(c.site.Machines("stretch")) != before {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			name := c.owner("fleet")
			c.stop(name)
			c.start(name)
			time.Sleep(6 * time.Second)
		}
	})
}

// TestEndsAcknowledgedOnceStored checks that ends of runs are not acknowledged while the store doesn't store them, and are
// acknowledged afterwards.
func TestEndsAcknowledgedOnceStored(t *testing.T) {
	for _, f := range []basilfake.StoreFaults{{Silent: true}, {Busy: true}, {LateBy: 2500 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
			run(t, 3, 3, constant(900*time.Millisecond), func(c *cluster) {
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
				time.Sleep(600 * time.Millisecond)
				c.storeFault(2*time.Second, f)
				time.Sleep(1900 * time.Millisecond)
				must.Positive(c.t, c.site.EndsListed("stretch"))
				c.await(quotePrefix, jobID(1), "completed", 9*time.Second)
				time.Sleep(3 * time.Second)
				must.Eq(c.t, 0, c.site.EndsListed("stretch"))
			})
		})
	}
}

// TestBusyOwnerKeepsShardWhenNoStrongerHostIsFree checks that a busy owner keeps its shard while no other entry host is
// stronger, as a takeover would not help, and that an owner that gets only a fraction of its CPU share hands it over.
func TestBusyOwnerKeepsShardWhenNoStrongerHostIsFree(t *testing.T) {
	for share, keeps := range map[int64]bool{100: true, 10: false} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			run(t, 3, 4, constant(300*time.Millisecond), func(c *cluster) {
				c.share.Store(share)
				name := c.owner("stretch")
				for range 5 {
					c.hosts[name].node.Occupy("stretch", 1400*time.Millisecond)
					time.Sleep(1450 * time.Millisecond)
					if c.owner("stretch") != name {
						break
					}
				}
				must.Eq(c.t, keeps, c.owner("stretch") == name)
				must.Eq(c.t, http.StatusOK, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
				c.await(quotePrefix, jobID(1), "completed", 6*time.Second)
			})
		})
	}
}

// TestWeakOwnersHandOverToFreeStrongHost checks that shards move to a stronger entry host that joins later, while jobs keep
// being submitted.
func TestWeakOwnersHandOverToFreeStrongHost(t *testing.T) {
	run(t, 3, 4, constant(300*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, http.StatusOK, c.submit("entry-1", longPrefix, longRunningID, longRunningJob))
		c.weights = map[string]float64{"entry-4": 6}
		c.start("entry-4")
		for n := range 60 {
			must.Eq(c.t, http.StatusOK, c.submit("entry-2", quotePrefix, jobID(n), twoSteps))
			time.Sleep(500 * time.Millisecond)
		}
		for _, shard := range []string{"fleet", "stretch"} {
			must.Eq(c.t, "entry-4", c.owner(shard), must.Sprint(shard))
		}
		for n := range 60 {
			c.await(quotePrefix, jobID(n), "completed", 4*time.Second)
		}
		must.Eq(c.t, 3, c.site.Running(longRunningID))
	})
}

// TestBackendServersAreNotReadAgain checks that the entries of backend servers, which change with every heartbeat, are all
// read only at the start and after the store has dropped its change history. Otherwise the watch brings the changes.
func TestBackendServersAreNotReadAgain(t *testing.T) {
	run(t, 2, 6, constant(300*time.Millisecond), func(c *cluster) {
		name := c.owner("stretch")
		reads := func() int64 { return c.hosts[name].client.Calls()["/api/rows-get servers"].Made }
		time.Sleep(10 * time.Second)
		must.Eq(c.t, 1, reads())
		c.site.Store.SetFaults(basilfake.StoreFaults{Busy: true})
		time.Sleep(time.Second) // heartbeats are stored that no watch reports
		c.site.Store.DropHistory()
		c.site.Store.SetFaults(basilfake.StoreFaults{})
		time.Sleep(10 * time.Second)
		must.Eq(c.t, 2, reads())
	})
}

// TestBackendServerIsUsedAfterItsEntryReturns checks that tasks are placed on backend servers again whose entries were
// missing for a moment, as after a network failure. It guards against an owner that forgets the servers but keeps its
// connections to them, which don't report a second time that the servers answer.
func TestBackendServerIsUsedAfterItsEntryReturns(t *testing.T) {
	run(t, 1, 3, constant(500*time.Millisecond), func(c *cluster) {
		must.Eq(c.t, 200, c.submit("entry-1", quotePrefix, jobID(1), twoSteps))
		c.await(quotePrefix, jobID(1), "completed", 2*time.Second)
		for range 2 { // the second time, the rows of used backend servers are too recent to be deleted
			for _, b := range c.site.Backends("stretch") {
				c.site.Store.Remove("servers", b.ID())
			}
			time.Sleep(1500 * time.Millisecond) // they write their entries every 1.5 s
		}
		must.Eq(c.t, 200, c.submit("entry-1", quotePrefix, jobID(2), twoSteps))
		c.await(quotePrefix, jobID(2), "completed", 2*time.Second)
	})
}
