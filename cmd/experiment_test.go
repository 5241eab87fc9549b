package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// TestExperiment compares two policies and draws them.
func TestExperiment(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "hosts.svg")
	var stdout, stderr bytes.Buffer
	args := []string{"experiment", "-load", "association", "-policies", "product,static", "-seeds", "1", "-length", "10s", "-plot", plot}
	must.Eq(t, exitOK, Main(t.Context(), args, &stdout, &stderr), must.Sprint(stderr.String()))
	must.StrContains(t, stdout.String(), "static")
	body, err := os.ReadFile(plot)
	must.NoError(t, err)
	must.StrContains(t, string(body), "<svg")
}

// TestExperimentInvalid refuses flags that make no experiment.
func TestExperimentInvalid(t *testing.T) {
	for _, args := range [][]string{
		{"-load", "nobody"}, {"-policies", "best"}, {"-seeds", "x"}, {"-length", "1s"}, {"-format", "yaml"},
	} {
		var stdout, stderr bytes.Buffer
		must.NotEq(t, exitOK, Main(t.Context(), append([]string{"experiment"}, args...), &stdout, &stderr), must.Sprint(args))
		must.Eq(t, "", stdout.String())
	}
}

// TestRenewals plays few cases of lost answers.
func TestRenewals(t *testing.T) {
	var stdout, stderr bytes.Buffer
	args := []string{"experiment", "renewals", "-leases", "5s", "-shares", "0.7", "-duration", "3s", "-plays", "20"}
	must.Eq(t, exitOK, Main(t.Context(), args, &stdout, &stderr), must.Sprint(stderr.String()))
	must.StrContains(t, stdout.String(), "lost 0.7")
	for _, args := range [][]string{{"-leases", "5"}, {"-leases", "1ms"}, {"-shares", "2"}, {"-shares", "NaN"}, {"-duration", "0s"}, {"-plays", "0"}, {"more"}} {
		stdout.Reset()
		must.NotEq(t, exitOK, Main(t.Context(), append([]string{"experiment", "renewals"}, args...), &stdout, &stderr), must.Sprint(args))
		must.Eq(t, "", stdout.String())
	}
}
