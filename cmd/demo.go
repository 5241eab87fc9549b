package cmd

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"basilstage.example/basilstage/internal/basildemo"
)

// newDemoCommand returns the subcommand that shows jobs, a move and a wave on embedded stand-ins.
func newDemoCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "basilstage demo",
		ShortHelp:  "Shows jobs, a move and a maintenance wave on embedded stand-ins over loopback.",
		FlagSet:    newFlagSet("basilstage demo", stderr),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			return basildemo.Run(ctx, stdout)
		},
	}
}
