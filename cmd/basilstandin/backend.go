package main

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"basilstage.example/basilstage/internal/basilstandin"
)

const defaultRunTime = 10 * time.Millisecond

// newBackendCommand returns the subcommand of a backend server, which is runner and worker in one.
func newBackendCommand(name string, stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstandin "+name, stderr)
	listen := flags.String("listen", "127.0.0.1:0", "IP:port to listen on")
	id := flags.String("id", name, "id of the backend server")
	slots := flags.Int("slots", basilstandin.DefaultSlots, "short jobs run at once")
	runTime := flags.Duration("run-time", defaultRunTime, "how long a short job runs")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "basilstandin " + name + " --listen IP:port --id ID [flags]",
		ShortHelp:  "Serves the runner and worker protocols.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			b := basilstandin.NewBackend(basilstandin.BackendOptions{
				ID: *id, Slots: *slots, RunTime: basilstandin.ConstantRunTime(*runTime),
			})
			return serve(ctx, server{
				name: name, id: *id, address: *listen, handler: b.Handler(), leave: b.Leave, stdout: stdout,
			})
		},
	}
}
