package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"basilstage.example/basilstage/pkg/basilapi"
)

// newSubmitCommand returns the subcommand that asks for a job.
func newSubmitCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage submit", stderr)
	var c connection
	c.register(flags)
	var r basilapi.SubmitRequest
	flags.StringVar(&r.Service, "service", "", "service that the job is for")
	flags.TextVar(&r.ID, "id", basilapi.JobID{}, "job id from an earlier try; none: a fresh one")
	flags.BoolVar(&r.Retry, "retry", false, "the id was submitted before")
	flags.BoolVar(&r.Idempotent, "idempotent", false, "the job may run more than once")
	flags.BoolVar(&r.Urgent, "urgent", false, "start before others")
	deadline := flags.Duration("deadline", 0, "how long the answer is of use")
	guess := flags.Duration("guess", 0, "declared run time")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "basilstage submit --service SERVICE [flags] PAYLOAD",
		ShortHelp:  "Asks for a job and prints its answer.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if r.Service == "" || len(args) != 1 {
				return flag.ErrHelp
			}
			r.DeadlineMS = deadline.Milliseconds()
			r.GuessMS = int64(*guess / time.Millisecond)
			r.Payload = []byte(args[0])
			client, err := c.client()
			if err != nil {
				return err
			}
			a, err := client.Submit(ctx, r)
			if err != nil {
				return err
			}
			printAnswer(stdout, a)
			return nil
		},
	}
}

func printAnswer(w io.Writer, a basilapi.JobAnswer) {
	fmt.Fprintf(w, "job      %s\noutcome  %s\n", a.ID, a.Outcome)
	if a.State != basilapi.JobStateNone {
		fmt.Fprintf(w, "state    %s\n", a.State)
	}
	if a.Reason != "" {
		fmt.Fprintf(w, "reason   %s\n", a.Reason)
	}
	if a.Outcome == basilapi.OutcomeRan {
		fmt.Fprintf(w, "answer   %s\n", a.Answer)
	}
}
