package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// maxLogLine is longer than any line of a log; the state of all pools takes some tens of KB.
const maxLogLine = 1 << 22

// longestAbsence is the longest time for which the log of a play tells that a long-running task was away.
type longestAbsence struct {
	away   time.Duration
	task   string
	pool   string
	reason string // why it wasn't at work; empty if it has returned
}

// absenceLine is a line about a long-running task that waits, or about those that are at work again.
type absenceLine struct {
	Message string `json:"message"`
	Pool    string `json:"pool"`
	Task    string `json:"task"`
	Reason  string `json:"reason"`
	Away    int64  `json:"away_ms"`
	Longest int64  `json:"longest_away_ms"`
}

// readAbsences returns the longest absence that the log tells. Its lines may begin with a time and the name of a host, and others may be among them.
func readAbsences(r io.Reader) (longestAbsence, error) {
	var longest longestAbsence
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		line := lines.Text()
		from := strings.IndexByte(line, '{')
		if from < 0 || !strings.Contains(line, "away_ms") {
			continue
		}
		var l absenceLine
		if json.Unmarshal([]byte(line[from:]), &l) != nil {
			continue // not a line of the program
		}
		if away := time.Duration(max(l.Away, l.Longest)) * time.Millisecond; away > longest.away {
			longest = longestAbsence{away: away, task: l.Task, pool: l.Pool, reason: l.Reason}
		}
	}
	return longest, lines.Err()
}

// newAbsencesCommand returns the subcommand that prints the longest absence of a long-running task.
func newAbsencesCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlagSet("basilstage experiment absences", stderr)
	return &ffcli.Command{
		Name:       "absences",
		ShortUsage: "basilstage experiment absences LOG...",
		ShortHelp:  "Prints the longest absence of a long-running task in logs of entry hosts.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(environmentPrefix)},
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return flag.ErrHelp
			}
			return writeAbsences(stdout, args)
		},
	}
}

func writeAbsences(w io.Writer, names []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "away ms\tpool\ttask\treason\tlog") // Flush returns the error
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return errors.WithStack(ErrFileUnreadable{File: name, Cause: err})
		}
		a, err := readAbsences(file)
		_ = file.Close() // only read
		if err != nil {
			return errors.WithStack(ErrFileUnreadable{File: name, Cause: err})
		}
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", a.away.Milliseconds(), a.pool, a.task, a.reason, name)
	}
	return table.Flush()
}
