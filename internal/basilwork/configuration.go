package basilwork

import (
	"strings"
	"time"
)

// Advice tells what the recommendation service costs a queue.
type Advice struct {
	Decide  time.Duration
	PerItem time.Duration
	Valid   time.Duration
}

// Queue is a route of callers to a service.
type Queue struct {
	Name        string
	Host        string
	Prefix      string
	Service     string
	Priority    int
	MaxAttempts int
	Stretch     float64
	Slack       time.Duration // of the objective, beyond the stretched chain
	Timeout     time.Duration
	Advice      *Advice
}

// Objective returns how long a job with this chain may take to earn its full worth.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.Slack
}

// Service is a pool of backend servers.
type Service struct {
	Name     string
	Standby  bool // its hosts are off
	Enforces bool // its backend servers refuse what does not fit
}

// Limits bound what callers send.
type Limits struct {
	Header        int
	Body          int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of what operators declared.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services []Service
	Limits   Limits
}

// Match returns the queue of a host and path by longest prefix, and the rest of the path.
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

// Queue returns the queue with the name, or nil.
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

// Standby returns the name of the first pool whose hosts are off, or an empty text.
func (c *Configuration) Standby() string {
	for _, s := range c.Services {
		if s.Standby {
			return s.Name
		}
	}
	return ""
}
