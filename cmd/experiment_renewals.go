package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"basilstage.example/basilstage/internal/basilexperiment"
)

const minRenewalLease = time.Second // shorter ones lapse between two holds

// newRenewalsCommand returns the subcommand that compares ways to renew leases while answers are lost.
func newRenewalsCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage experiment renewals", stderr)
	leases := flags.String("leases", "5s,5.7s", "requested leases")
	shares := flags.String("shares", "0.3,0.5,0.7,0.9", "shares of the holds that get no answer")
	duration := flags.Duration("duration", 9*time.Second, "how long answers are lost")
	seed := flags.Uint64("seed", 1, "seed of the plays")
	plays := flags.Int("plays", 4000, "plays of each case")
	return &ffcli.Command{
		Name:       "renewals",
		ShortUsage: "basilstage experiment renewals [flags]",
		ShortHelp:  "Compares ways to renew the leases of a sound backend server that leaves holds unanswered.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			t := basilexperiment.RenewalTable{Duration: *duration, Seed: *seed, Plays: *plays}
			for _, text := range strings.Split(*leases, ",") {
				lease, err := time.ParseDuration(text)
				if err != nil || lease < minRenewalLease {
					return ErrExperimentInvalid{Reason: fmt.Sprintf("lease %q is no duration of %v or more", text, minRenewalLease)}
				}
				t.Leases = append(t.Leases, lease)
			}
			for _, text := range strings.Split(*shares, ",") {
				share, err := strconv.ParseFloat(text, 64)
				if err != nil || !(share >= 0 && share <= 1) {
					return ErrExperimentInvalid{Reason: fmt.Sprintf("share %q is not from 0 to 1", text)}
				}
				t.Shares = append(t.Shares, share)
			}
			if t.Duration < time.Second || t.Plays < 1 {
				return ErrExperimentInvalid{Reason: "a duration of 1s or more and a play or more are needed"}
			}
			return basilexperiment.WriteRenewals(stdout, t)
		},
	}
}
