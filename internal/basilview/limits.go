package basilview

import "time"

// Periods and limits of the control loop and its pollers.
const (
	tickPeriod         = 100 * time.Millisecond
	tickAgeLimit       = 2 * time.Second // requests are refused if the last tick is older
	freezeLimit        = 5 * time.Second // a longer gap between ticks counts as a freeze of the process
	trailPeriod        = time.Second     // between polls of the audit trail
	listPeriodBase     = 500 * time.Millisecond
	listPeriodPerHost  = 10 * time.Millisecond // limits a list of about 136 bytes per host to 13.6 KB/s
	memberPeriod       = 3 * time.Second       // between heartbeats, and between polls of the member list
	remoteViewAgeLimit = 3 * time.Second       // maximum age of a view for using hosts of other data centres
	sponsorExpiry      = 3 * time.Second       // sponsorship expires this long after it was requested
	sponsoredExpiry    = 2 * sponsorExpiry     // a sponsor drops a sponsored entry host that was silent for longer
	silentReadLimit    = 5                     // consecutive reads without a new heartbeat after which a member counts as gone
	trailBatchSize     = 200                   // maximum number of entries per read
	eventQueueSize     = 1024                  // capacity of the control loop's event queue
)
