package basilexperiment

import (
	"fmt"
	"time"

	"basilstage.example/basilstage/internal/basilwork"
)

// Prices as the users' bench showed them on quiet days.
const (
	hostPrice = 0.0048
	movePrice = 0.000138
)

// ErrLoadUnknown says that there is no load of the name.
type ErrLoadUnknown struct{ Name string }

func (e ErrLoadUnknown) Error() string {
	return fmt.Sprintf("no such load [name: %s, known: %v]", e.Name, LoadNames())
}

// LoadNames returns the names of the loads that can be played.
func LoadNames() []string { return []string{"hinokuni", "association"} }

// Named returns the load of a first user, as its page describes it; it fails with ErrLoadUnknown.
func Named(name string) (*Load, error) {
	switch name {
	case "hinokuni":
		return hinokuni(), nil
	case "association":
		return association(), nil
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
		Name: "hinokuni", Standby: 8, Host: basilwork.Room{CPU: 64000, Memory: 262144}, Peak: 5, Valley: 0.05, Slow: 0.04, Failing: 0.04, Wave: 25, WaveMost: 10,
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
		Name: "association", Standby: 8, Host: basilwork.Room{CPU: 16000, Memory: 65536}, Peak: 5, Valley: 0.05, Slow: 0.04, Failing: 0.04, Wave: 25, WaveMost: 10,
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
