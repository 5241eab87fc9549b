package cmd

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"basilstage.example/basilstage/pkg/basilapi"
)

// newJobCommand returns the subcommand that fetches or cancels a job.
func newJobCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage job", stderr)
	var c connection
	c.register(flags)
	cancel := flags.Bool("cancel", false, "end the job if it has not started")
	return &ffcli.Command{
		Name:       "job",
		ShortUsage: "basilstage job [flags] JOB-ID",
		ShortHelp:  "Tells what became of a job, or cancels it.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			id, err := basilapi.ParseJobID(args[0])
			if err != nil {
				return err
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			ask := client.Job
			if *cancel {
				ask = client.Cancel
			}
			a, err := ask(ctx, id)
			if err != nil {
				return err
			}
			printAnswer(stdout, a)
			return nil
		},
	}
}
