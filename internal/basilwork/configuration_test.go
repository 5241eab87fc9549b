package basilwork

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

func TestQueueIDFollowsAddress(t *testing.T) {
	q := Queue{Name: "quote", Host: "shop.example", Prefix: "/quote/", Service: "stretch"}
	for _, same := range []Queue{
		{Name: "quote-2", Host: "shop.example", Prefix: "/quote/", Service: "press"},
		{Name: "quote", Host: "Shop.Example", Prefix: "/quote/"},
	} {
		must.Eq(t, q.ID(), same.ID())
	}
	for _, other := range []Queue{
		{Name: "quote", Host: "shop.example", Prefix: "/Quote/"},
		{Name: "quote", Host: "shop.example", Prefix: "/quote"},
		{Name: "quote", Host: "shop2.example", Prefix: "/quote/"},
		{Name: "quote", Prefix: "shop.example/quote/"},
	} {
		must.NotEq(t, q.ID(), other.ID(), must.Sprint(other))
	}
}

func TestQueueOfJob(t *testing.T) {
	c := Configuration{Queues: []Queue{{Name: "fit", Host: "a", Prefix: "/quote/"}, {Name: "quote", Host: "a", Prefix: "/fit/"}}}
	tests := map[string]struct {
		job  Job
		want string
	}{
		"address before name":         {Job{QueueID: c.Queues[0].ID(), Queue: "quote"}, "fit"},
		"name if the address is out":  {Job{QueueID: (&Queue{Host: "a", Prefix: "/old/"}).ID(), Queue: "quote"}, "quote"},
		"name if there is no address": {Job{Queue: "fit"}, "fit"},
		"neither":                     {Job{QueueID: "x", Queue: "old"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if q := c.QueueOf(&test.job); q != nil {
				got = q.Name
			}
			must.Eq(t, test.want, got)
		})
	}
}

func TestMatchRest(t *testing.T) {
	c := Configuration{Queues: []Queue{{Name: "short", Host: "a", Prefix: "/q/"}, {Name: "long", Host: "a", Prefix: "/q/00"}}}
	q, rest := c.Match("A", "/q/0012")
	must.Eq(t, "long 12", fmt.Sprint(q.Name, " ", rest))
	q, rest = c.MatchRest("a", "/q/0012", func(rest string) bool { return len(rest) == 4 })
	must.Eq(t, "short 0012", fmt.Sprint(q.Name, " ", rest))
	q, _ = c.MatchRest("a", "/q/0012", func(string) bool { return false })
	must.Nil(t, q)
}

func BenchmarkQueueID(b *testing.B) {
	q := Queue{Host: "shop.example", Prefix: "/quote/"}
	for b.Loop() {
		q.ID()
	}
}
