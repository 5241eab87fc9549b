package cmd

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/pkg/basilapi"
	"basilstage.example/basilstage/pkg/basilclient"
)

// defaultAddress is where an entry host for trials serves.
const defaultAddress = "http://127.0.0.1:8443"

// defaultTimeout is longer than a short job's own limit.
const defaultTimeout = time.Minute

// connection holds the flags that say how to reach entry hosts.
type connection struct {
	addresses string
	tokenFile string
	caFile    string
	timeout   time.Duration
}

func (c *connection) register(flags *flag.FlagSet) {
	flags.StringVar(&c.addresses, "address", defaultAddress, "base `URLs` of entry hosts, comma-separated, tried in order")
	flags.StringVar(&c.tokenFile, "token-file", "", "`FILE` with the bearer token")
	flags.StringVar(&c.caFile, "ca", "", "PEM `FILE` of the authority that signs the entry hosts' certificates; none: the system's")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "longest wait for the answer of one entry host, which may be frozen")
}

func (c *connection) client() (*basilclient.Client, error) {
	token := ""
	if c.tokenFile != "" {
		b, err := os.ReadFile(c.tokenFile)
		if err != nil {
			return nil, errors.WithStack(ErrFileUnreadable{File: c.tokenFile, Cause: err})
		}
		token = strings.TrimSpace(string(b))
	}
	transport, err := c.transport()
	if err != nil {
		return nil, err
	}
	return basilclient.NewClient(basilclient.Options{
		Addresses: strings.Split(c.addresses, ","), Token: token, HTTP: &http.Client{Timeout: c.timeout, Transport: transport},
	}), nil
}

// transport trusts the authority of the flag, or the system's; it fails with ErrFileUnreadable.
func (c *connection) transport() (http.RoundTripper, error) {
	if c.caFile == "" {
		return http.DefaultTransport, nil
	}
	b, err := os.ReadFile(c.caFile)
	if err != nil {
		return nil, errors.WithStack(ErrFileUnreadable{File: c.caFile, Cause: err})
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(b) {
		return nil, errors.WithStack(ErrFileUnreadable{File: c.caFile, Cause: ErrNoCertificate{}})
	}
	return &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}, nil
}

// ErrNoCertificate says that a PEM file holds no certificate.
type ErrNoCertificate struct{}

func (ErrNoCertificate) Error() string { return "no certificate in PEM form" }

// IsErrNoCertificate tells whether the error is an ErrNoCertificate.
func IsErrNoCertificate(err error) bool { return errors.As(err, new(ErrNoCertificate)) }

// ErrFileUnreadable says that a file that a flag or an argument names can't be read.
type ErrFileUnreadable struct {
	File  string
	Cause error
}

func (e ErrFileUnreadable) Error() string {
	return fmt.Sprintf("file can't be read [file: %s, cause: %v]", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e ErrFileUnreadable) Unwrap() error { return e.Cause }

// IsErrFileUnreadable tells whether the error is an ErrFileUnreadable.
func IsErrFileUnreadable(err error) bool { return errors.As(err, new(ErrFileUnreadable)) }

// exitStatus tells a script how a request ended.
func exitStatus(err error) int {
	if IsErrUsage(err) || basilapi.IsErrJobIDMalformed(err) {
		return exitUsage
	}
	if IsErrCommandUnknown(err) || basilclient.IsErrNoAnswer(err) || basilclient.IsErrAnswerMalformed(err) {
		return exitUnknown
	}
	p, ok := basilapi.AsProblem(err)
	switch {
	case !ok:
		return exitFailure
	case p.Outcome == basilapi.OutcomeNotRun:
		return exitRefused
	case p.Outcome == basilapi.OutcomeUnknown:
		return exitUnknown
	}
	return exitFailure
}

// explain tells an error to a person: what happened, what to do, when to come back.
func explain(err error) string {
	if IsErrCommandUnknown(err) || IsErrCommandRefused(err) || IsErrQueryMistaken(err) {
		return err.Error()
	}
	p, ok := basilapi.AsProblem(err)
	if !ok {
		return err.Error()
	}
	return fmt.Sprintf("%s (%s): %s", p.Outcome, p.Code, reason(err))
}

// reason tells what a Problem says beside its outcome.
func reason(err error) string {
	p, ok := basilapi.AsProblem(err)
	if !ok {
		return err.Error()
	}
	s := p.Message
	if p.Hint != "" {
		s += "; " + p.Hint
	}
	if p.RetryAfterMS > 0 {
		s += fmt.Sprintf("; come back in %s", p.RetryAfter())
	}
	if p.AskAt != "" {
		s += "; ask at " + p.AskAt
	}
	return s
}

// mistakeColumn finds the place of a mistake in a message.
var mistakeColumn = regexp.MustCompile(`^column (\d+): `)

// pointer returns the sentence with a mark below the word that the error names, or "" when it names none.
func pointer(text string, err error) string {
	p, _ := basilapi.AsProblem(err)
	found := mistakeColumn.FindStringSubmatch(p.Message)
	if p.Code != basilapi.CodeMalformed || found == nil || strings.Contains(text, "\n") {
		return ""
	}
	column, err := strconv.Atoi(found[1])
	if err != nil || column < 1 || column > len(text)+1 {
		return ""
	}
	return "\n  " + text + "\n  " + strings.Repeat(" ", column-1) + "^"
}

// Formats of answers.
const (
	formatTable = "table"
	formatJSON  = "json"
)

func formatFlag(flags *flag.FlagSet) *string {
	return flags.String("format", formatTable, "table or json")
}

// checkFormat fails with ErrUsage.
func checkFormat(format string) error {
	if format == formatTable || format == formatJSON {
		return nil
	}
	return errors.WithStack(ErrUsage{Detail: fmt.Sprintf("format %q is neither table nor json", format)})
}
