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

// CopiesOptions bounds a Copies; the zero value takes the defaults.
type CopiesOptions struct {
	MaxCopies int
	MaxBytes  int // of answer bodies
}

// Copies keeps final answers of other entry hosts' jobs, as many as fit.
type Copies struct {
	mutex   sync.Mutex
	maximum int // bytes
	bytes   int
	answers *simplelru.LRU[basilapi.JobID, basilapi.JobAnswer]
}

// NewCopies returns an empty store.
func NewCopies(o CopiesOptions) *Copies {
	if o.MaxCopies <= 0 {
		o.MaxCopies = defaultMaxCopies
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = defaultMaxCopyBytes
	}
	c := &Copies{maximum: o.MaxBytes}
	c.answers, _ = simplelru.NewLRU(o.MaxCopies, func(_ basilapi.JobID, a basilapi.JobAnswer) {
		c.bytes -= len(a.Answer)
	}) // fails only for sizes below 1
	return c
}

// Put stores the answers; the first one for an id stays.
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
	for c.bytes > c.maximum {
		c.answers.RemoveOldest()
	}
}

// Get returns the answer for the id and whether there is a copy.
func (c *Copies) Get(id basilapi.JobID) (basilapi.JobAnswer, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.answers.Peek(id)
}
