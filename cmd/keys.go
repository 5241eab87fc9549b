package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilkeys"
)

// newKeysCommand returns the subcommand that makes trial certificates.
func newKeysCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("basilstage keys", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:        "keys",
		ShortUsage:  "basilstage keys <subcommand>",
		ShortHelp:   "Makes certificates for trials.",
		FlagSet:     flags,
		Subcommands: []*ffcli.Command{newKeysMakeCommand(stdout, stderr)},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newKeysMakeCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("basilstage keys make", flag.ContinueOnError)
	flags.SetOutput(stderr)
	directory := flags.String("dir", "", "directory to write to")
	members := memberList{}
	flags.Var(&members, "member", "`ID=IP[,ID=IP…]` of the members; may be repeated")
	return &ffcli.Command{
		Name:       "make",
		ShortUsage: "basilstage keys make --dir DIR --member ID=IP[,ID=IP…]",
		ShortHelp:  "Writes a new authority and a certificate for each member.",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if *directory == "" || len(members) == 0 || len(args) != 0 {
				return flag.ErrHelp
			}
			return makeKeys(stdout, *directory, members)
		},
	}
}

func makeKeys(stdout io.Writer, directory string, members []basilkeys.Member) error {
	if err := basilkeys.Make(directory, members); err != nil {
		return err
	}
	for _, m := range members {
		fmt.Fprintf(stdout, "%s %s %s\n", m.ID, basilkeys.CertificateFile(m.ID), basilkeys.KeyFile(m.ID))
	}
	return nil
}

// memberList reads members from flags; an id given twice gathers its IP numbers.
type memberList []basilkeys.Member

// String returns the flag's default.
func (l *memberList) String() string { return "" }

// Set adds the members of one flag; it fails with ErrMemberInvalid.
func (l *memberList) Set(written string) error {
	for part := range strings.SplitSeq(written, ",") {
		id, address, _ := strings.Cut(part, "=")
		ip := net.ParseIP(address)
		if !basilkeys.ValidMemberID(id) || ip == nil {
			return errors.WithStack(ErrMemberInvalid{Written: part})
		}
		l.add(id, ip)
	}
	return nil
}

func (l *memberList) add(id string, ip net.IP) {
	for i := range *l {
		if (*l)[i].ID == id {
			(*l)[i].Addresses = append((*l)[i].Addresses, ip)
			return
		}
	}
	*l = append(*l, basilkeys.Member{ID: id, Addresses: []net.IP{ip}})
}

// ErrMemberInvalid says that a flag names no member and IP number.
type ErrMemberInvalid struct{ Written string }

func (e ErrMemberInvalid) Error() string {
	return fmt.Sprintf("member invalid, want ID=IP [written: %s]", e.Written)
}

// IsErrMemberInvalid tells whether the error is an ErrMemberInvalid.
func IsErrMemberInvalid(err error) bool { return errors.As(err, new(ErrMemberInvalid)) }
