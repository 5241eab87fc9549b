package basilexperiment

import (
	"fmt"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Prices as the users' bench showed them on quiet days.
const (
	hostPrice      = 0.0048
	movePrice      = 0.000138
	grownHostPrice = 0.0008
	grownMovePrice = 0.000019
)

// ErrLoadUnknown says that there is no load of the name.
type ErrLoadUnknown struct{ Name string }

func (e ErrLoadUnknown) Error() string {
	return fmt.Sprintf("no such load [name: %s, known: %v]", e.Name, LoadNames())
}

// LoadNames returns the names of the loads that can be played.
func LoadNames() []string {
	return []string{"hinokuni", "association", "hinokuni_grown", "association_grown"}
}

// Named returns the load of a first user, as its page describes it; it fails with ErrLoadUnknown.
func Named(name string) (*Load, error) {
	switch name {
	case "hinokuni":
		return hinokuni(), nil
	case "association":
		return association(), nil
	case "hinokuni_grown":
		return hinokuniGrown(), nil
	case "association_grown":
		return associationGrown(), nil
	}
	return nil, ErrLoadUnknown{Name: name}
}

// quote is a kind of short job: many small tasks, quick answers.
func quote(name, service string, rate, cpu float64, work time.Duration, worth float64) Queue {
	return Queue{
		Name: name, Service: service, Rate: rate, Steps: 1.6, Width: 6, CPU: cpu, Memory: 2 * cpu, Work: work, Spread: 0.5,
		Tail: 0.03, TailTimes: 7, EstimateBy: 0.2, Poison: 0.03, Stretch: 1.6, Slack: 600 * time.Millisecond,
		Worth: worth, Late: worth * 0.07,
	}
}

// batch is a kind of wide job with bad estimates.
func batch(name, service string, rate, cpu float64, work time.Duration, worth float64) Queue {
	q := quote(name, service, rate, cpu, work, worth)
	q.Steps, q.Width, q.EstimateBy, q.Cancelled, q.Saves = 2, 8, 0.9, 0.05, true
	return q
}

func hinokuni() *Load {
	return &Load{
		Name: "hinokuni", Standby: 8, Host: basilwork.Resources{CPU: 64000, Memory: 262144}, Peak: 5, Valley: 0.05, Slow: 0.04, Failing: 0.04, Wave: 25, WaveMost: 10, Orders: 64,
		HostPrice: hostPrice, MovePrice: movePrice,
		Services: []Service{
			{Name: "calfshaft", Hosts: 9, Lasting: 5, Apart: 2, Room: 5900},
			{Name: "equestrian", Hosts: 12, Lasting: 7, Apart: 2, Room: 7300},
			{Name: "instep", Hosts: 11, Lasting: 5, Apart: 2, Room: 6600},
			{Name: "toebox", Hosts: 9, Lasting: 5, Apart: 2, Room: 5300},
		},
		Queues: []Queue{
			quote("toe-quote", "toebox", 6.17, 3500, 850*time.Millisecond, 0.507), quote("instep-quote", "instep", 7.72, 3500, 850*time.Millisecond, 0.507),
			batch("calf-fit", "calfshaft", 1.11, 7700, 1400*time.Millisecond, 3.16), batch("riding-fit", "equestrian", 1.36, 7700, 1400*time.Millisecond, 3.16),
		},
	}
}

func association() *Load {
	return &Load{
		Name: "association", Standby: 8, Host: basilwork.Resources{CPU: 16000, Memory: 65536}, Peak: 5, Valley: 0.05, Slow: 0.04, Failing: 0.04, Wave: 25, WaveMost: 10, Orders: 64,
		HostPrice: hostPrice, MovePrice: movePrice,
		Services: []Service{
			{Name: "comptoir", Hosts: 8, Lasting: 5, Apart: 2, Room: 1700},
			{Name: "atelier", Hosts: 9, Lasting: 5, Apart: 2, Room: 1900},
			{Name: "livraison", Hosts: 11, Lasting: 5, Apart: 2, Room: 2100},
			{Name: "caisse", Hosts: 12, Lasting: 7, Apart: 2, Room: 2300},
		},
		Queues: []Queue{
			quote("recu-depot", "comptoir", 6.14, 1100, 680*time.Millisecond, 0.473), quote("confirm-cueil", "livraison", 7.67, 1100, 680*time.Millisecond, 0.473),
			batch("tri-lot", "atelier", 0.696, 2500, 1800*time.Millisecond, 4.7), batch("fermeture-caisse", "caisse", 0.85, 2500, 1800*time.Millisecond, 4.7),
		},
	}
}

// grown turns a load into that of a fleet some seven times as large, whose tasks are larger and whose jobs are worth less.
func grown(l *Load, hosts [4]int, standby int) *Load {
	l.Name += "_grown"
	l.Standby, l.Peak, l.Wave, l.WaveMost, l.Orders = standby, 4, 175, 64, 215
	l.HostPrice, l.MovePrice = grownHostPrice, grownMovePrice
	for n := range l.Services {
		l.Services[n].Hosts = hosts[n]
		l.Services[n].Lasting = 24
	}
	return l
}

func hinokuniGrown() *Load {
	l := grown(hinokuni(), [4]int{70, 85, 77, 62}, 56)
	l.Queues = []Queue{
		quote("toe-quote", "toebox", 19.1, 6200, 850*time.Millisecond, 0.409), quote("instep-quote", "instep", 23.8, 6200, 850*time.Millisecond, 0.409),
		batch("calf-fit", "calfshaft", 4.81, 13000, 1400*time.Millisecond, 1.82), batch("riding-fit", "equestrian", 5.88, 13000, 1400*time.Millisecond, 1.82),
	}
	return widen(l)
}

func associationGrown() *Load {
	l := grown(association(), [4]int{61, 70, 77, 85}, 57)
	l.Queues = []Queue{
		quote("recu-depot", "comptoir", 23.1, 2000, 540*time.Millisecond, 0.389), quote("confirm-cueil", "livraison", 28.8, 2000, 540*time.Millisecond, 0.389),
		batch("tri-lot", "atelier", 4.66, 4400, 1100*time.Millisecond, 2.17), batch("fermeture-caisse", "caisse", 5.69, 4400, 1100*time.Millisecond, 2.17),
	}
	return widen(l)
}

// widen gives all queues the width of grown fleets.
func widen(l *Load) *Load {
	for n := range l.Queues {
		l.Queues[n].Width = 8
	}
	return l
}
