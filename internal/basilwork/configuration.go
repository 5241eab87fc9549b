package basilwork

import (
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"time"
)

// Advice is the cost of asking the recommendation service for a queue.
type Advice struct {
	DecisionTime time.Duration `json:"d,omitempty"` // per request
	TimePerItem  time.Duration `json:"i,omitempty"` // in addition, per item of the request
	ValidFor     time.Duration `json:"v,omitempty"` // how long the answer may be used
}

// Cost returns how long the service takes to answer a request about the given number of backend servers.
func (a *Advice) Cost(backends int) time.Duration {
	return a.DecisionTime + time.Duration(backends)*a.TimePerItem
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

// queueIDBytes is the size of a queue's ID: two of a thousand queues have the same one with a probability of 1e-23.
const queueIDBytes = 12

// ID returns the identity of the queue: its host and prefix, which callers name their jobs by, hashed to a length that fits into the keys
// of a store. The operator may replace a queue by one of another name at the same address.
func (q *Queue) ID() string {
	sum := sha256.Sum256([]byte(strings.ToLower(q.Host) + "\n" + q.Prefix))
	return base64.RawURLEncoding.EncodeToString(sum[:queueIDBytes])
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
	return c.MatchRest(host, path, func(string) bool { return true })
}

// MatchRest is like Match, but of the matching queues it considers only those that leave a rest of the path that is accepted.
func (c *Configuration) MatchRest(host, path string, accepts func(rest string) bool) (*Queue, string) {
	var found *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.Prefix) || !accepts(path[len(q.Prefix):]) {
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

// QueueOf returns the queue at the address that the job was submitted to, or else the one that has the name of the job's queue, or nil.
func (c *Configuration) QueueOf(j *Job) *Queue {
	var named *Queue
	for n := range c.Queues {
		q := &c.Queues[n]
		if j.QueueID != "" && j.QueueID == q.ID() {
			return q
		}
		if j.Queue == q.Name {
			named = q
		}
	}
	return named
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
