package basilexperiment

import (
	"basilstage.example/basilstage/internal/basilcapacity"
	"basilstage.example/basilstage/internal/basilscheduler"
)

//go:generate go tool -modfile=../../tools/go.mod enumer -type=Policy -trimprefix=Policy -transform=snake -output=policy_enumer.go

// Policy is a set of decisions to be compared.
type Policy int

// Policies; the first is the product's.
const (
	PolicyProduct     Policy = iota // work on time by its size, hosts follow the demand
	PolicyArrival                   // as the product, work in the order of its arrival
	PolicyShortest                  // as the product, the least work first
	PolicyIdleOnly                  // as the product, pools give up idle hosts only: its version before
	PolicyStatic                    // as the product, all hosts up and shared out for good
	PolicyLeastSlack                // by slack, without a margin for jobs at risk
	PolicySlack                     // as the product, work on time by slack: its version before
	PolicyKeepUsed                  // as the product, pools keep the hosts that they use beyond their shares
	PolicyFloor                     // as the product, hosts for long-running tasks first and then to the pools that lack the most
	PolicyFloorKeep                 // the same, pools keep the hosts that they use
	PolicyMostMissing               // as the product, hosts to the pools that lack the most: its version before
)

// order returns how waiting work is placed.
func (p Policy) order() basilscheduler.Order {
	switch p {
	case PolicyArrival:
		return basilscheduler.OrderArrival
	case PolicyShortest:
		return basilscheduler.OrderShortest
	case PolicyLeastSlack:
		return basilscheduler.OrderLeastSlack
	case PolicySlack:
		return basilscheduler.OrderSlack
	}
	return basilscheduler.OrderLeastWork
}

// sharing returns how pools share hosts that are too few.
func (p Policy) sharing() basilcapacity.Sharing {
	switch p {
	case PolicyFloor, PolicyFloorKeep:
		return basilcapacity.SharingFloor
	case PolicyMostMissing:
		return basilcapacity.SharingMostMissing
	}
	return basilcapacity.SharingMaxMin
}

// keepsUsed reports whether pools keep the hosts that they use beyond their shares.
func (p Policy) keepsUsed() bool {
	return p == PolicyKeepUsed || p == PolicyFloorKeep || p == PolicyMostMissing
}
