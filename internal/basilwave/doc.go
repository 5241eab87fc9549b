// Package basilwave runs maintenance waves over the fleet.
//
// It plans which hosts to take out of service next within all availability
// budgets, and executes the steps of waves and of moves between pools one by one.
// Each step is stored, so any entry host can continue after any step.
package basilwave
