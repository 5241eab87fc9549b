// Package cmd holds the subcommands of basilstage, one file each.
package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
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
	exitRefused = 3 // not run, not changed: safe to ask again
	exitUnknown = 4 // may have run or been changed: ask again with the same id
)

// Main runs the subcommand that the arguments name and returns the exit status.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	// The handler stays until the process ends: a second signal must not kill it in its last moments.
	ctx, _ = signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	root := newRootCommand(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(stderr, "basilstage:", err)
		}
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	}
	fmt.Fprintln(stderr, "basilstage:", explain(err))
	return exitStatus(err)
}

func newRootCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("basilstage", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "basilstage",
		ShortUsage: "basilstage <subcommand> [flags]",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			newDemoCommand(stdout, stderr),
			newExperimentCommand(stdout, stderr),
			newEntryCommand(stdout, stderr),
			newMintCommand(stdout, stderr),
			newSubmitCommand(stdout, stderr),
			newJobCommand(stdout, stderr),
			newQueryCommand(stdout, stderr),
			newCommandCommand(stdout, stderr),
			newKeysCommand(stdout, stderr),
			newSettingsCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
