package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// newMintCommand returns the subcommand that fetches job ids to hold ready.
func newMintCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage mint", stderr)
	var c connection
	c.register(flags)
	count := flags.Int("count", 1, "how many")
	return &ffcli.Command{
		Name:       "mint",
		ShortUsage: "basilstage mint [flags]",
		ShortHelp:  "Fetches fresh job ids, one a line.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			ids, err := client.Mint(ctx, *count)
			if err != nil {
				return err
			}
			for _, id := range ids {
				fmt.Fprintln(stdout, id)
			}
			return nil
		},
	}
}
