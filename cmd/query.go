package cmd

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// newQueryCommand returns the subcommand that asks a question in the operators' language.
func newQueryCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage query", stderr)
	var c connection
	c.register(flags)
	format := formatFlag(flags)
	return &ffcli.Command{
		Name:       "query",
		ShortUsage: `basilstage query [flags] 'hosts where pool = "counter"'`,
		ShortHelp:  "Asks what is running where, and why.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			if err := checkFormat(*format); err != nil {
				return err
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			text := strings.Join(args, " ")
			a, err := client.Query(ctx, text)
			if err != nil {
				return errors.WithStack(ErrQueryMistaken{Text: text, Cause: err})
			}
			return printTable(stdout, *format, a)
		},
	}
}

func printTable(w io.Writer, format string, a basilapi.QueryAnswer) error {
	if format == formatJSON {
		return errors.WithStack(json.NewEncoder(w).Encode(a))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ToUpper(strings.Join(a.Columns, "\t")))
	for _, r := range a.Rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return errors.WithStack(t.Flush())
}
