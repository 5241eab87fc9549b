package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/shoenig/test/must"
)

// TestAbsences prints the longest absence of a log with lines of several kinds.
func TestAbsences(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	must.NoError(t, os.WriteFile(name, []byte(`playing, {away_ms}
  9.7500 entry-1 {"away_ms":8100,"message":"task waits","pool":"stretch","reason":"no_room","task":"j.0.0.1","waited_ms":2100}
{"longest_away_ms":9300,"message":"long-running tasks at work again","pool":"stretch","task":"j.0.0.2","tasks":3}
{"message":"task waits","pool":"stretch","reason":"no_room","task":"k.0.0.0","waited_ms":60000}
`), 0o600))
	var stdout, stderr bytes.Buffer
	must.Eq(t, exitOK, Main(t.Context(), []string{"experiment", "absences", name}, &stdout, &stderr), must.Sprint(stderr.String()))
	must.RegexMatch(t, regexp.MustCompile(`9300 +stretch +j\.0\.0\.2 +`+regexp.QuoteMeta(name)), stdout.String())
	for _, args := range [][]string{nil, {name + "-missing"}} {
		stdout.Reset()
		must.NotEq(t, exitOK, Main(t.Context(), append([]string{"experiment", "absences"}, args...), &stdout, &stderr))
	}
}
