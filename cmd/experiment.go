package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilexperiment"
)

// ErrExperimentInvalid says what is wrong with an experiment's flags.
type ErrExperimentInvalid struct{ Reason string }

func (e ErrExperimentInvalid) Error() string { return "experiment invalid: " + e.Reason }

const (
	experimentLength = 60 * time.Second // of a load, some 15 s for each peak
	shortestLoad     = 10 * time.Second
	burstLength      = 6 * time.Second // of the incident in which one pool took all hosts
)

// experiment is what the flags of the subcommand say.
type experiment struct {
	load     string
	policies string
	seeds    string
	length   time.Duration
	burst    float64
	burstFor time.Duration
	lost     float64
	format   string
	plot     string
}

// newExperimentCommand returns the subcommand that compares policies on a load in event time.
func newExperimentCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage experiment", stderr)
	var e experiment
	flags.StringVar(&e.load, "load", "hinokuni", "load to play: "+strings.Join(basilexperiment.LoadNames(), ", "))
	flags.StringVar(&e.policies, "policies", strings.Join(basilexperiment.PolicyStrings(), ","), "policies to compare")
	flags.StringVar(&e.seeds, "seeds", "1,2,3", "seeds of the load; all policies meet the same jobs")
	flags.DurationVar(&e.length, "length", experimentLength, "how long jobs come in")
	flags.Float64Var(&e.burst, "burst", 1, "times as many jobs that come in for a while")
	flags.DurationVar(&e.burstFor, "burst-for", burstLength, "length of the burst")
	flags.Float64Var(&e.lost, "lost", 0, "share of the last service's hosts that are lost for good")
	flags.StringVar(&e.plot, "plot", "", "SVG file for hosts held and used by the first seed")
	formats := formatFlag(flags)
	return &ffcli.Command{
		Name:        "experiment",
		ShortUsage:  "basilstage experiment [flags]",
		ShortHelp:   "Compares policies of placement and capacity on a load, in event time and without sockets.",
		FlagSet:     flags,
		Options:     []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Subcommands: []*ffcli.Command{newRenewalsCommand(stdout, stderr), newAbsencesCommand(stdout, stderr)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			e.format = *formats
			return e.run(ctx, stdout)
		},
	}
}

func (e *experiment) run(ctx context.Context, stdout io.Writer) error {
	if err := checkFormat(e.format); err != nil {
		return err
	}
	load, err := basilexperiment.Named(e.load)
	if err != nil {
		return err
	}
	load.Burst, load.BurstFor, load.Lost = e.burst, e.burstFor, e.lost
	policies, err := e.parsePolicies()
	if err != nil {
		return err
	}
	seeds, err := e.parseSeeds()
	if err != nil {
		return err
	}
	if e.length < shortestLoad {
		return ErrExperimentInvalid{Reason: fmt.Sprintf("length %v is under %v", e.length, shortestLoad)}
	}
	figures, err := basilexperiment.Compare(ctx, load, policies, seeds, e.length)
	if err != nil {
		return err
	}
	if e.plot != "" {
		if err := writePlot(e.plot, load, figures); err != nil {
			return err
		}
	}
	if e.format == formatJSON {
		return basilexperiment.WriteJSON(stdout, figures)
	}
	return basilexperiment.WriteTable(stdout, figures)
}

func (e *experiment) parsePolicies() ([]basilexperiment.Policy, error) {
	var policies []basilexperiment.Policy
	for _, name := range strings.Split(e.policies, ",") {
		p, err := basilexperiment.PolicyString(name)
		if err != nil {
			return nil, ErrExperimentInvalid{Reason: fmt.Sprintf("policy %q is none of %v", name, basilexperiment.PolicyStrings())}
		}
		policies = append(policies, p)
	}
	return policies, nil
}

func (e *experiment) parseSeeds() ([]uint64, error) {
	var seeds []uint64
	for _, text := range strings.Split(e.seeds, ",") {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, ErrExperimentInvalid{Reason: fmt.Sprintf("seed %q is no number", text)}
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

func writePlot(path string, load *basilexperiment.Load, figures []*basilexperiment.Figures) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.WithStack(err)
	}
	err = basilexperiment.WritePlot(f, load, figures)
	if closed := f.Close(); err == nil {
		err = errors.WithStack(closed)
	}
	return err
}
