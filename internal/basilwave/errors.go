package basilwave

import (
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

// ErrWaveNotExist is returned for a wave that was never created.
type ErrWaveNotExist struct{ Name string }

func (e ErrWaveNotExist) Error() string { return fmt.Sprintf("wave does not exist [name: %s]", e.Name) }

// IsErrWaveNotExist reports whether err is an ErrWaveNotExist.
func IsErrWaveNotExist(err error) bool { return errors.As(err, new(ErrWaveNotExist)) }

// ErrWaveExists is returned when a new wave has the name of an existing one.
type ErrWaveExists struct{ Name string }

func (e ErrWaveExists) Error() string { return fmt.Sprintf("wave exists already [name: %s]", e.Name) }

// IsErrWaveExists reports whether err is an ErrWaveExists.
func IsErrWaveExists(err error) bool { return errors.As(err, new(ErrWaveExists)) }

// ErrWaveConflict is returned when the wave's state doesn't allow the command.
type ErrWaveConflict struct {
	Name   string
	State  basilmodel.WaveState
	Reason string // of the wave's last change
}

func (e ErrWaveConflict) Error() string {
	return fmt.Sprintf("wave's state does not allow this [name: %s, state: %s, reason: %s]", e.Name, e.State, e.Reason)
}

// IsErrWaveConflict reports whether err is an ErrWaveConflict.
func IsErrWaveConflict(err error) bool { return errors.As(err, new(ErrWaveConflict)) }

// ErrWaveStale is returned when the wave has changed since the version that the caller read.
type ErrWaveStale struct {
	Name             string
	Version, Current int64
}

func (e ErrWaveStale) Error() string {
	return fmt.Sprintf("wave has changed since [name: %s, version: %d, current: %d]", e.Name, e.Version, e.Current)
}

// IsErrWaveStale reports whether err is an ErrWaveStale.
func IsErrWaveStale(err error) bool { return errors.As(err, new(ErrWaveStale)) }

// ErrWaveInvalid is returned for a wave declaration that fails validation.
type ErrWaveInvalid struct{ Detail string }

func (e ErrWaveInvalid) Error() string { return "wave is invalid [detail: " + e.Detail + "]" }

// IsErrWaveInvalid reports whether err is an ErrWaveInvalid.
func IsErrWaveInvalid(err error) bool { return errors.As(err, new(ErrWaveInvalid)) }
