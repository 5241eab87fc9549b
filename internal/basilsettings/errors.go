package basilsettings

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrSettingsInvalid says what is wrong in a file of settings, and how to mend it.
type ErrSettingsInvalid struct {
	File   string
	Line   int // 0 when no line is to blame
	Detail string
	Hint   string
}

func (e ErrSettingsInvalid) Error() string {
	return fmt.Sprintf("settings invalid [file: %s, line: %d, detail: %s, hint: %s]", e.File, e.Line, e.Detail, e.Hint)
}

// IsErrSettingsInvalid tells whether the error is an ErrSettingsInvalid.
func IsErrSettingsInvalid(err error) bool { return errors.As(err, new(ErrSettingsInvalid)) }
