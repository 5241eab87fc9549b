package basilkeys

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrKeysInvalid says that a certificate or key file can't be used.
type ErrKeysInvalid struct {
	File  string
	Cause error
}

func (e ErrKeysInvalid) Error() string {
	return fmt.Sprintf("keys invalid [file: %s, cause: %v]", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e ErrKeysInvalid) Unwrap() error { return e.Cause }

// IsErrKeysInvalid tells whether the error is an ErrKeysInvalid.
func IsErrKeysInvalid(err error) bool { return errors.As(err, new(ErrKeysInvalid)) }

// ErrKeysExist says that the directory already holds that file, which is not overwritten.
type ErrKeysExist struct{ File string }

func (e ErrKeysExist) Error() string {
	return fmt.Sprintf("keys already exist [file: %s]", e.File)
}

// IsErrKeysExist tells whether the error is an ErrKeysExist.
func IsErrKeysExist(err error) bool { return errors.As(err, new(ErrKeysExist)) }

// ErrIdentityMissing says that the other side showed no certificate with a member id.
type ErrIdentityMissing struct{}

func (ErrIdentityMissing) Error() string { return "certificate names no member" }

// IsErrIdentityMissing tells whether the error is an ErrIdentityMissing.
func IsErrIdentityMissing(err error) bool { return errors.As(err, new(ErrIdentityMissing)) }

// ErrAuthorityMissing says that the authority's file holds no certificate.
type ErrAuthorityMissing struct{}

func (ErrAuthorityMissing) Error() string { return "no authority certificate found" }

// IsErrAuthorityMissing tells whether the error is an ErrAuthorityMissing.
func IsErrAuthorityMissing(err error) bool { return errors.As(err, new(ErrAuthorityMissing)) }
