package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
)

// newCommandCommand returns the subcommand that gives a command in the operators' language.
func newCommandCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage command", stderr)
	var c connection
	c.register(flags)
	var r basilapi.OperatorRequest
	flags.StringVar(&r.ID, "id", "", "id of the command; a repeat with it is not a second change")
	flags.StringVar(&r.Reason, "reason", "", "why, for the audit trail")
	flags.BoolVar(&r.DryRun, "dry-run", false, "check only")
	file := flags.String("file", "", "YAML document that the command takes")
	return &ffcli.Command{
		Name:       "command",
		ShortUsage: "basilstage command [flags] 'drain host h1'",
		ShortHelp:  "Changes something, with an entry in the audit trail.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			r.Text = strings.Join(args, " ")
			return giveCommand(ctx, stdout, &c, r, *file)
		},
	}
}

func giveCommand(ctx context.Context, stdout io.Writer, c *connection, r basilapi.OperatorRequest, file string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if r.Body, err = readDocument(file); err != nil {
		return err
	}
	if r.ID == "" {
		r.ID = ulid.Make().String()
	}
	a, err := client.Command(ctx, r)
	if err != nil {
		fmt.Fprintln(stdout, "command", r.ID)
		return err
	}
	fmt.Fprintf(stdout, "accepted %s: %s\n", a.ID, a.Summary)
	return nil
}

// readDocument returns the YAML file as JSON, or nothing for no file.
func readDocument(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(ErrFileUnreadable{File: file, Cause: err})
	}
	j, err := yaml.YAMLToJSON(b)
	if err != nil {
		return nil, errors.WithStack(ErrFileUnreadable{File: file, Cause: err})
	}
	return j, nil
}
