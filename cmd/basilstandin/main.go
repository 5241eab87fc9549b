package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the subcommand that the arguments name and returns the exit status.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := newRootCommand(stdout, stderr).ParseAndRun(ctx, args)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	fmt.Fprintln(stderr, "basilstandin:", err)
	return exitFailure
}

func newRootCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstandin", stderr)
	return &ffcli.Command{
		Name:       "basilstandin",
		ShortUsage: "basilstandin <subcommand> [flags]",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newPlatformCommand(stdout, stderr),
			newBackendCommand("runner", stdout, stderr),
			newBackendCommand("worker", stdout, stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newFlagSet(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}
