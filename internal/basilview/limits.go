package basilview

import "time"

// Periods and limits of the control loop.
const (
	tickPeriod        = 100 * time.Millisecond
	tickLimit         = 2 * time.Second // traffic refuses beyond this age of the last tick
	freezeLimit       = 5 * time.Second // a longer gap between ticks counts as a freeze
	trailPeriod       = time.Second     // polls of the audit trail
	listPeriodBase    = 500 * time.Millisecond
	listPeriodPerHost = 10 * time.Millisecond // at about 136 bytes a host, 13.6 KB/s
	memberPeriod      = 3 * time.Second       // heartbeats and polls of the member list
	remoteViewLimit   = 3 * time.Second       // age of the view for hosts of other data centres
	sponsorLimit      = 3 * time.Second       // age of the link to a sponsor
	sponsoredLimit    = 2 * sponsorLimit      // after which a sponsor forgets one that it sponsors
	silentReads       = 5                     // unchanged reads in a row after which a member counts as gone
	trailBatch        = 200                   // entries of one read
	eventQueue        = 1024                  // events waiting for the loop
)
