package basilwork

import (
	"strings"
	"time"
)

// Advice is the cost of asking the recommendation service for a queue.
type Advice struct {
	DecisionTime time.Duration // per request
	TimePerItem  time.Duration // in addition, per item of the request
	ValidFor     time.Duration // how long the answer may be used
}

// Queue routes the requests of a host name and path prefix to a service.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64
	Slack       time.Duration // added to the objective, see Objective
	Timeout     time.Duration
	Advice      *Advice
}

// Objective returns the target completion time of a job whose critical path takes
// this long; a job that meets it counts in full.
func (q *Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Slack
}

// Service is a pool of backend servers.
type Service struct {
	Name             string
	Standby          bool // its hosts are powered off
	EnforcesCapacity bool // its backend servers reject tasks that exceed their free capacity
}

// Limits bounds the size and duration of caller requests.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operators' settings.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Match returns the queue with the longest prefix that matches the host and path, and
// the rest of the path; without a match it returns nil.
func (c *Configuration) Match(host, path string) (*Queue, string) {
	var found *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if found == nil || len(q.Prefix) > len(found.Prefix) {
			found = q
		}
	}
	if found == nil {
		return nil, ""
	}
	return found, path[len(found.Prefix):]
}

// Queue returns the queue with the given name, or nil.
func (c *Configuration) Queue(name string) *Queue {
	for n := range c.Queues {
		if c.Queues[n].Name == name {
			return &c.Queues[n]
		}
	}
	return nil
}

// Pools returns the names of the services that run tasks.
func (c *Configuration) Pools() []string {
	var names []string
	for _, s := range c.Services {
		if !s.Standby {
			names = append(names, s.Name)
		}
	}
	return names
}

// Standby returns the name of the first pool whose hosts are powered off, or an empty string.
func (c *Configuration) Standby() string {
	for _, s := range c.Services {
		if s.Standby {
			return s.Name
		}
	}
	return ""
}
