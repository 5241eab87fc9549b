// Command standin plays the cases of the review: it starts entry hosts as processes beside stand-ins of the platform on
// loopback addresses, writes a record, and judges one rule.
//
// Its exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxPlay is the longest time that a case may take.
const maxPlay = 115 * time.Second

// play is one case: it returns the ways in which the rule was broken. With trouble unset it does the same without the disruption.
type play func(w *world, trouble bool) (broken []string, err error)

var plays = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "case to play")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	program := flag.String("program", "target/basilnode", "entry host's program")
	path := flag.String("record", "record.txt", "file to write the record to")
	keep := flag.String("logs", "", "folder that keeps the settings and logs of the entry hosts")
	flag.Parse()
	f, ok := plays[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitFailed
	}
	w, err := newWorld(*program, *path, *keep)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitFailed
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxPlay):
		}
		w.close()
		os.Exit(exitFailed)
	}()
	w.note("case %s, trouble %v", *name, *trouble)
	broken, err := f(w, *trouble)
	w.noteRuns()
	for _, b := range broken {
		w.note("BROKEN: %s", b)
	}
	switch {
	case err != nil:
		w.note("could not run: %v", err)
	case len(broken) == 0:
		w.note("the rule held")
	}
	w.close()
	switch {
	case err != nil:
		return exitFailed
	case len(broken) > 0:
		return exitBroken
	}
	return exitHeld
}
