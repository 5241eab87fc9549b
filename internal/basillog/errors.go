package basillog

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrLevelInvalid says that no log level has that name.
type ErrLevelInvalid struct{ Level string }

func (e ErrLevelInvalid) Error() string {
	return fmt.Sprintf("log level invalid [level: %s]", e.Level)
}

// IsErrLevelInvalid tells whether the error is an ErrLevelInvalid.
func IsErrLevelInvalid(err error) bool { return errors.As(err, new(ErrLevelInvalid)) }
