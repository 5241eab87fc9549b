package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"basilstage.example/basilstage/internal/basilsettings"
)

// newSettingsCommand returns the subcommand that checks files of settings.
func newSettingsCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("basilstage settings", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:        "settings",
		ShortUsage:  "basilstage settings <subcommand>",
		ShortHelp:   "Checks settings.",
		FlagSet:     flags,
		Subcommands: []*ffcli.Command{newSettingsCheckCommand(stdout, stderr)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newSettingsCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("basilstage settings check", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "basilstage settings check FILE",
		ShortHelp:  "Checks a file of settings and the files that it names.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			return checkSettings(stdout, args[0])
		},
	}
}

func checkSettings(stdout io.Writer, file string) error {
	s, err := basilsettings.Load(file)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: fine [member: %s, data centre: %s, peers: %d]\n", file, s.Member(), s.DataCentre(), len(s.Peers()))
	return nil
}
