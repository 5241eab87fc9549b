package basilsettings

import (
	"os"
	"strings"

	"github.com/pkg/errors"
)

// TableKeys returns the access and secret keys of the table service; it fails with ErrSettingsInvalid.
func (s Settings) TableKeys() (access, secret string, err error) {
	t := s.record.Platform.Table
	if access, err = keyOf(t.AccessKey, t.AccessKeyFile); err != nil {
		return "", "", err
	}
	secret, err = keyOf(t.SecretKey, t.SecretKeyFile)
	return access, secret, err
}

// BootstrapHash returns the SHA-256, in hex, of the operators' token that is taken while no team is declared, or "".
func (s Settings) BootstrapHash() string { return s.record.BootstrapTokenHash }

func keyOf(value, file string) (string, error) {
	if file == "" {
		return value, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(ErrSettingsInvalid{File: file, Detail: err.Error(), Hint: "make the key file readable"})
	}
	return strings.TrimSpace(string(b)), nil
}
