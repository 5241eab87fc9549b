package cmd

import (
	"context"
	"flag"
	"io"
	stdlog "log"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/sirupsen/logrus"

	"basilstage.example/basilstage/internal/basilentry"
	"basilstage.example/basilstage/internal/basillog"
	"basilstage.example/basilstage/internal/basilsettings"
)

// environmentPrefix begins the names of environment variables that stand for flags.
const environmentPrefix = "BASILSTAGE"

// newEntryCommand returns the subcommand that runs an entry host.
func newEntryCommand(_, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage entry", stderr)
	file := flags.String("settings", "", "YAML settings `FILE` of this entry host")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "basilstage entry --settings FILE",
		ShortHelp:  "Runs an entry host until SIGTERM, then stops gracefully.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) != 0 {
				return flag.ErrHelp
			}
			return runEntry(ctx, *file, stderr)
		},
	}
}

func newFlagSet(name string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	return flags
}

// Settings of the garbage collector: an entry host's heap is small, so that with
// the default it would collect many times a second under load.
const (
	gcPercent     = 400
	gcMemoryLimit = 112 << 20 // bytes; above it the collector works harder
	gcPercentName = "GOGC"
	gcMemoryName  = "GOMEMLIMIT"
)

// tuneCollector sets the garbage collector unless the environment does.
func tuneCollector() {
	if os.Getenv(gcPercentName) == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv(gcMemoryName) == "" {
		debug.SetMemoryLimit(gcMemoryLimit)
	}
}

func runEntry(ctx context.Context, file string, logs io.Writer) error {
	tuneCollector()
	s, err := basilsettings.Load(file)
	if err != nil {
		return err
	}
	log, err := basillog.New(logs, s.LogLevel())
	if err != nil {
		return err
	}
	stdlog.SetFlags(0) // libraries that print for themselves become JSON lines too
	stdlog.SetOutput(log.WriterLevel(logrus.DebugLevel))
	ports, err := basilentry.NewPorts(s)
	if err != nil {
		return err
	}
	e, err := basilentry.New(basilentry.Options{Settings: s, Ports: ports, Log: log})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}
