// Package basilwave passes maintenance waves through the fleet: it plans which
// hosts to take out next within every availability budget, and carries the steps
// of waves and of moves out one by one, so that any entry host can go on at any step.
package basilwave
