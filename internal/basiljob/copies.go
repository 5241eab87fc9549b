package basiljob

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"basilstage.example/basilstage/pkg/basilapi"
)

// Defaults of CopiesOptions.
const (
	defaultMaxCopies    = 100_000
	defaultMaxCopyBytes = 32 << 20
)

// CopiesOptions sets the limits of a Copies; zero values select the defaults.
type CopiesOptions struct {
	MaxCopies int
	MaxBytes  int // total size of the answer bodies
}

// Copies is an in-memory cache of final answers of jobs that other entry hosts minted.
// When it exceeds its limits, the oldest answers are evicted.
type Copies struct {
	mutex    sync.Mutex
	maxBytes int
	bytes    int // total size of the answer bodies
	answers  *simplelru.LRU[basilapi.JobID, basilapi.JobAnswer]
}

// NewCopies returns an empty cache.
func NewCopies(o CopiesOptions) *Copies {
	if o.MaxCopies <= 0 {
		o.MaxCopies = defaultMaxCopies
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxCopyBytes
	}
	c := &Copies{maxBytes: o.MaxBytes}
	c.answers, _ = simplelru.NewLRU(o.MaxCopies, func(_ basilapi.JobID, a basilapi.JobAnswer) {
		c.bytes -= len(a.Answer)
	}) // fails only for sizes below 1
	return c
}

// Put stores the final answers. An answer that is already stored for an id is kept.
func (c *Copies) Put(answers []basilapi.JobAnswer) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, a := range answers {
		if c.answers.Contains(a.ID) || a.Outcome == basilapi.OutcomePending {
			continue
		}
		c.bytes += len(a.Answer)
		c.answers.Add(a.ID, a)
	}
	for c.bytes > c.maxBytes {
		c.answers.RemoveOldest()
	}
}

// Get returns the stored answer for the id and whether there is one.
func (c *Copies) Get(id basilapi.JobID) (basilapi.JobAnswer, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answers.Peek(id)
}
