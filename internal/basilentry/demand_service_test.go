package basilentry

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilpeer"
	"basilstage.example/basilstage/internal/basilqueue"
)

type noCapacity struct{}

func (noCapacity) Take(string, bool) (basilqueue.Slot, bool) { return nil, false }

func (noCapacity) Size(string) int { return 0 }

func TestDemandAddsUpWhatPeersSay(t *testing.T) {
	c, stop := viewOf(t, 4, 2)
	defer stop()
	s := newDemandService(basilqueue.NewQueues(basilqueue.Options{Capacity: noCapacity{}}), nil)
	now := time.Now()
	s.hear("e2", []basilpeer.PoolLoad{{Pool: "pool-00", Slots: 16}}, now)
	s.hear("e3", []basilpeer.PoolLoad{{Pool: "pool-00", Slots: 16}, {Pool: "pool-01", Slots: 8}}, now)
	d := s.total(c.View(), now)
	must.EqOp(t, 4, d.Pools["pool-00"])
	must.EqOp(t, 1, d.Pools["pool-01"])
	must.EqOp(t, 2, d.Overflow, must.Sprint("pool-00 has two hosts"))
	s.hear("e3", []basilpeer.PoolLoad{{Pool: "pool-01", Slots: 0}}, now)
	must.EqOp(t, 2, s.total(c.View(), now).Pools["pool-00"])
	must.EqOp(t, 0, s.total(c.View(), now.Add(demandLimit+time.Second)).Pools["pool-00"], must.Sprint("silent peers are not counted"))
}

func TestDemandThatEndedIsToldOnce(t *testing.T) {
	s := &demandService{}
	must.Eq(t, map[string]int{"a": 3}, s.news(map[string]int{"a": 3}))
	must.Eq(t, map[string]int{"a": 0, "b": 1}, s.news(map[string]int{"b": 1}))
	must.Eq(t, map[string]int{"b": 0}, s.news(map[string]int{}))
	must.MapLen(t, 0, s.news(map[string]int{}))
}
