package cmd

import (
	"context"
	"encoding/json"
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
	flags.BoolVar(&r.DryRun, "dry-run", false, "change nothing; tell what the configuration would become")
	file := flags.String("file", "", "YAML document that the command takes")
	format := formatFlag(flags)
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
			return giveCommand(ctx, stdout, &c, r, *file, *format)
		},
	}
}

func giveCommand(ctx context.Context, stdout io.Writer, c *connection, r basilapi.OperatorRequest, file, format string) error {
	if err := checkFormat(format); err != nil {
		return err
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	if r.Body, err = readDocument(file); err != nil {
		return err
	}
	repeat := r.ID != ""
	if !repeat {
		r.ID = ulid.Make().String()
	}
	a, err := client.Command(ctx, r)
	if err != nil {
		return notAccepted(err, c, r, file, repeat)
	}
	return printCommand(stdout, format, a)
}

func printCommand(w io.Writer, format string, a basilapi.CommandAnswer) error {
	if format == formatJSON {
		return errors.WithStack(json.NewEncoder(w).Encode(a))
	}
	place := ""
	if a.Sequence > 0 {
		place = fmt.Sprintf(" (audit entry %d)", a.Sequence)
	}
	_, err := fmt.Fprintf(w, "accepted %s%s: %s\n", a.ID, place, a.Summary)
	return errors.WithStack(err)
}

// notAccepted tells a refusal apart from an outcome that is not known.
//
// An entry host that can't read the table refuses a repeat without knowing what
// became of the try before it.
func notAccepted(err error, c *connection, r basilapi.OperatorRequest, file string, repeat bool) error {
	p, ok := basilapi.AsProblem(err)
	blind := ok && (p.Code == basilapi.CodeStoreUnavailable || p.Code == basilapi.CodeStale || p.Code == basilapi.CodeStopping)
	if exitStatus(err) == exitUnknown || repeat && blind {
		return errors.WithStack(ErrCommandUnknown{Again: againLine(c, r, file), Cause: err})
	}
	if ok && p.Outcome == basilapi.OutcomeNotRun {
		return errors.WithStack(ErrCommandRefused{ID: r.ID, Text: r.Text, Cause: err})
	}
	return err
}

// againLine is what to type to give the command again with the same id.
func againLine(c *connection, r basilapi.OperatorRequest, file string) string {
	words := []string{"basilstage command"}
	for _, f := range [][2]string{{"address", c.addresses}, {"token-file", c.tokenFile}, {"id", r.ID}, {"reason", r.Reason}, {"file", file}} {
		if f[1] != "" && f[1] != defaultAddress {
			words = append(words, "--"+f[0]+" "+quoted(f[1]))
		}
	}
	if r.DryRun {
		words = append(words, "--dry-run")
	}
	return strings.Join(append(words, quoted(r.Text)), " ")
}

// quoted returns the word as a shell reads it.
func quoted(word string) string {
	plain := func(c rune) bool { return c < '+' || c > 'z' || strings.ContainsRune(";<>?[\\]^`", c) }
	if word != "" && !strings.ContainsFunc(word, plain) {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
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
