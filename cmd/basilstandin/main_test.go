package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"basilstage.example/basilstage/internal/basilplatform/basilfleet"
	"basilstage.example/basilstage/internal/basilstandin"
	"basilstage.example/basilstage/pkg/basilapi"
)

// started runs a subcommand and returns its address, what stops it, and its exit status.
func started(t *testing.T, args ...string) (address string, stop func(), status <-chan int) {
	ctx, cancel := context.WithCancel(t.Context())
	out, in := io.Pipe()
	ended := make(chan int, 1)
	go func() { ended <- run(ctx, args, in, io.Discard) }()
	var line struct{ Address, Msg string }
	text, err := bufio.NewReader(out).ReadBytes('\n')
	must.NoError(t, err)
	must.NoError(t, json.Unmarshal(text, &line))
	must.EqOp(t, "listening", line.Msg)
	return line.Address, cancel, ended
}

func get(t *testing.T, url string, value any) {
	answer, err := http.Get(url)
	must.NoError(t, err)
	defer answer.Body.Close()
	must.NoError(t, json.NewDecoder(answer.Body).Decode(value))
}

func TestPlatformServesHostsOfItsFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hosts.json")
	must.NoError(t, os.WriteFile(file, []byte(`[{"id":"h1","data_centre":"fukuoka","address":"127.0.0.1:1"}]`), 0o600))
	address, stop, status := started(t, "platform", "--hosts", file)
	hosts, err := basilfleet.NewHostList("http://"+address, nil).List(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, hosts)
	must.EqOp(t, "fukuoka", hosts[0].DataCentre)
	stop()
	must.EqOp(t, exitOK, <-status)
}

// A planned stop ends no run in progress: its caller gets the whole answer.
func TestStopWaitsForRuns(t *testing.T) {
	for _, name := range []string{"runner", "worker"} {
		t.Run(name, func(t *testing.T) {
			address, stop, status := started(t, name, "--id", "b1", "--run-time", "500ms")
			answers := make(chan string, 1)
			go func() {
				r, _ := http.NewRequest(http.MethodPost, "http://"+address+basilapi.RunPath, strings.NewReader("hem"))
				r.Header.Set(basilapi.HeaderJob, "j")
				r.Header.Set(basilapi.HeaderAttempt, "1")
				answer, err := http.DefaultClient.Do(r)
				if err != nil {
					answers <- err.Error()
					return
				}
				defer answer.Body.Close()
				body, _ := io.ReadAll(answer.Body)
				answers <- string(body)
			}()
			var s basilstandin.BackendStatus
			for s.InProgress == 0 {
				get(t, "http://"+address+basilstandin.PathStatus, &s)
				must.EqOp(t, "b1", s.ID)
			}
			stop()
			must.EqOp(t, "answer to hem", <-answers)
			must.EqOp(t, exitOK, <-status)
		})
	}
}

func TestExitStatus(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"no subcommand", nil, exitUsage},
		{"help", []string{"platform", "-h"}, exitUsage},
		{"no such flag", []string{"runner", "--color"}, exitFailure},
		{"no such file", []string{"platform", "--hosts", "/nowhere/hosts.json"}, exitFailure},
		{"no such address", []string{"runner", "--listen", "127.0.0.1:x"}, exitFailure},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			must.EqOp(t, tt.want, run(t.Context(), tt.args, io.Discard, io.Discard))
		})
	}
}
