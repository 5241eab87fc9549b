// Command standin2 plays the scripts of the second review: it starts entry hosts as the deploy file does, beside the stand-ins of
// platform/basilfake, plays one case, and writes what was sent, answered and run.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case, with or without its disruption. It returns the breaks of the rule that it saw.
type play func(f *fleet, trouble bool) (broken []string, err error)

func plays() map[string]play {
	return map[string]play{
		"crashes": playCrashes,
		"night":   playNight,
		"gang":    playGang,
	}
}

// errUsage is returned for wrong arguments.
var errUsage = errors.New("usage: standin2 CASE BASILNODE RECORD; TROUBLE=0 leaves the disruption out")

func main() { os.Exit(run(os.Args[1:], os.Getenv("TROUBLE") != "0")) }

func run(args []string, trouble bool) int {
	if len(args) != 3 || plays()[args[0]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	r, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	r.add("case %s, disruption %v", args[0], trouble)
	broken, err := runCase(plays()[args[0]], args[1], r, trouble)
	for _, b := range broken {
		r.add("BROKEN: %s", b)
	}
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}

func runCase(p play, program string, r *record, trouble bool) ([]string, error) {
	f, err := newFleet(program, r)
	if err != nil {
		return nil, err
	}
	defer f.close()
	return p(f, trouble)
}
