package basilkeys

import (
	"net"
	"os"
	"path/filepath"
	"regexp"

	"github.com/pkg/errors"
)

// AuthorityFile is the name of the authority's certificate in a directory of keys.
const AuthorityFile = "ca.pem"

// Modes of what Make writes.
const (
	directoryMode   = 0o700
	certificateMode = 0o644
	keyMode         = 0o600
)

// Member is one member that Make issues a certificate to.
type Member struct {
	ID        string
	Addresses []net.IP
}

// memberPattern holds ids to what is safe as a file name and a common name.
var memberPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ValidMemberID tells whether the id may name a member.
func ValidMemberID(id string) bool { return memberPattern.MatchString(id) }

// CertificateFile returns the name of a member's certificate in a directory of keys.
func CertificateFile(member string) string { return member + ".pem" }

// KeyFile returns the name of a member's private key in a directory of keys.
func KeyFile(member string) string { return member + "-key.pem" }

// Make writes a new authority and a certificate for each member into the
// directory. The authority's key is not kept. It fails with ErrKeysExist.
func Make(directory string, members []Member) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return errors.WithStack(ErrKeysInvalid{File: directory, Cause: err})
	}
	a, err := NewAuthority()
	if err != nil {
		return err
	}
	if err := writeNew(filepath.Join(directory, AuthorityFile), a.Certificate(), certificateMode); err != nil {
		return err
	}
	for _, m := range members {
		if err := a.write(directory, m); err != nil {
			return err
		}
	}
	return nil
}

func (a *Authority) write(directory string, m Member) error {
	p, err := a.Issue(m.ID, m.Addresses...)
	if err != nil {
		return err
	}
	if err := writeNew(filepath.Join(directory, CertificateFile(m.ID)), p.certificate, certificateMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(directory, KeyFile(m.ID)), p.key, keyMode)
}

func writeNew(file string, b []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if errors.Is(err, os.ErrExist) {
		return errors.WithStack(ErrKeysExist{File: file})
	}
	if err != nil {
		return errors.WithStack(ErrKeysInvalid{File: file, Cause: err})
	}
	_, err = f.Write(b)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return errors.WithStack(ErrKeysInvalid{File: file, Cause: err})
	}
	return nil
}
