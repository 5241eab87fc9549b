package basilwave

import (
	"fmt"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilmodel"
)

// ErrWaveNotExist says that no such wave was created.
type ErrWaveNotExist struct{ Name string }

func (e ErrWaveNotExist) Error() string { return fmt.Sprintf("wave does not exist [name: %s]", e.Name) }

// IsErrWaveNotExist tells whether the error is an ErrWaveNotExist.
func IsErrWaveNotExist(err error) bool { return errors.As(err, new(ErrWaveNotExist)) }

// ErrWaveExists says that the wave's name was used before.
type ErrWaveExists struct{ Name string }

func (e ErrWaveExists) Error() string { return fmt.Sprintf("wave exists already [name: %s]", e.Name) }

// IsErrWaveExists tells whether the error is an ErrWaveExists.
func IsErrWaveExists(err error) bool { return errors.As(err, new(ErrWaveExists)) }

// ErrWaveConflict says that the wave's state doesn't allow the command.
type ErrWaveConflict struct {
	Name   string
	State  basilmodel.WaveState
	Reason string // for the last change
}

func (e ErrWaveConflict) Error() string {
	return fmt.Sprintf("wave's state does not allow this [name: %s, state: %s, reason: %s]", e.Name, e.State, e.Reason)
}

// IsErrWaveConflict tells whether the error is an ErrWaveConflict.
func IsErrWaveConflict(err error) bool { return errors.As(err, new(ErrWaveConflict)) }

// ErrWaveStale says that the wave has changed since the caller looked.
type ErrWaveStale struct {
	Name             string
	Version, Current int64
}

func (e ErrWaveStale) Error() string {
	return fmt.Sprintf("wave has changed since [name: %s, version: %d, current: %d]", e.Name, e.Version, e.Current)
}

// IsErrWaveStale tells whether the error is an ErrWaveStale.
func IsErrWaveStale(err error) bool { return errors.As(err, new(ErrWaveStale)) }

// ErrWaveInvalid says what is wrong with a wave's declaration.
type ErrWaveInvalid struct{ Detail string }

func (e ErrWaveInvalid) Error() string { return "wave is invalid [detail: " + e.Detail + "]" }

// IsErrWaveInvalid tells whether the error is an ErrWaveInvalid.
func IsErrWaveInvalid(err error) bool { return errors.As(err, new(ErrWaveInvalid)) }
