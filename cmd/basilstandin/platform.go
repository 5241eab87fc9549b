package main

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/internal/basilstandin"
)

const defaultRebootTime = 2 * time.Second

func newPlatformCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstandin platform", stderr)
	listen := flags.String("listen", "127.0.0.1:0", "IP:port to listen on")
	hosts := flags.String("hosts", "", "JSON file with the array of hosts")
	rebootTime := flags.Duration("reboot-time", defaultRebootTime, "how long a reboot takes")
	return &ffcli.Command{
		Name:       "platform",
		ShortUsage: "basilstandin platform --listen IP:port [--hosts FILE.json]",
		ShortHelp:  "Serves the table service, the host list and host control.",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			p := basilstandin.NewPlatform(basilstandin.PlatformOptions{RebootTime: *rebootTime})
			if err := loadHosts(p, *hosts); err != nil {
				return err
			}
			return serve(ctx, server{name: "platform", address: *listen, handler: p.Handler(), stdout: stdout})
		},
	}
}

// loadHosts sets the platform's hosts from the file; no file is no hosts.
func loadHosts(p *basilstandin.Platform, file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.WithStack(err)
	}
	var hosts []basilplatform.ListedHost
	if err := json.Unmarshal(text, &hosts); err != nil {
		return errors.WithStack(err)
	}
	p.SetHosts(hosts)
	return nil
}
