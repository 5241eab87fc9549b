package basiljob

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// ErrNotMinted is returned for an id that this incarnation did not mint.
type ErrNotMinted struct{ ID basilapi.JobID }

func (e ErrNotMinted) Error() string {
	return fmt.Sprintf("job id was not minted here [id: %s]", e.ID)
}

// IsErrNotMinted reports whether the error is an ErrNotMinted.
func IsErrNotMinted(err error) bool { return errors.As(err, new(ErrNotMinted)) }

// ErrRequestConflict is returned when the id is already used by a different request.
type ErrRequestConflict struct{ ID basilapi.JobID }

func (e ErrRequestConflict) Error() string {
	return fmt.Sprintf("job id is in use by a different request [id: %s]", e.ID)
}

// IsErrRequestConflict reports whether the error is an ErrRequestConflict.
func IsErrRequestConflict(err error) bool { return errors.As(err, new(ErrRequestConflict)) }

// ErrTooLate is returned by a cancel when the job may already have run.
type ErrTooLate struct{ ID basilapi.JobID }

func (e ErrTooLate) Error() string {
	return fmt.Sprintf("cancel came too late [id: %s]", e.ID)
}

// IsErrTooLate reports whether the error is an ErrTooLate.
func IsErrTooLate(err error) bool { return errors.As(err, new(ErrTooLate)) }

// ErrJobNotExist is returned when the table has no record of the job.
type ErrJobNotExist struct{ ID basilapi.JobID }

func (e ErrJobNotExist) Error() string {
	return fmt.Sprintf("job does not exist [id: %s]", e.ID)
}

// IsErrJobNotExist reports whether the error is an ErrJobNotExist.
func IsErrJobNotExist(err error) bool { return errors.As(err, new(ErrJobNotExist)) }

// ErrNothingFree is returned when no host has free capacity for the job at the moment.
type ErrNothingFree struct{ RetryAfter time.Duration }

func (e ErrNothingFree) Error() string {
	return fmt.Sprintf("no host is free for the job [retry after: %s]", e.RetryAfter)
}

// IsErrNothingFree reports whether the error is an ErrNothingFree.
func IsErrNothingFree(err error) bool { return errors.As(err, new(ErrNothingFree)) }

// ErrFitsNoHost is returned when no host of the fleet can ever run the job.
type ErrFitsNoHost struct {
	Service       string
	Cores         int
	MemoryMB      int
	LargestCores  int // most cores of any host that runs the service
	LargestMemory int // most memory of any host that runs the service, in MB
}

func (e ErrFitsNoHost) Error() string {
	return fmt.Sprintf("job fits no host [service: %s, cores: %d of %d, memory: %d of %d MB]",
		e.Service, e.Cores, e.LargestCores, e.MemoryMB, e.LargestMemory)
}

// IsErrFitsNoHost reports whether the error is an ErrFitsNoHost.
func IsErrFitsNoHost(err error) bool { return errors.As(err, new(ErrFitsNoHost)) }

// ErrItemCorrupt is returned when a stored item can't be decoded or fails its checksum.
type ErrItemCorrupt struct {
	Key   basilplatform.Key
	Cause error // nil if the checksum doesn't match
}

func (e ErrItemCorrupt) Error() string {
	return fmt.Sprintf("stored item is corrupt [partition: %s, sort: %s, cause: %v]", e.Key.Partition, e.Key.Sort, e.Cause)
}

// Unwrap returns the cause.
func (e ErrItemCorrupt) Unwrap() error { return e.Cause }

// IsErrItemCorrupt reports whether the error is an ErrItemCorrupt.
func IsErrItemCorrupt(err error) bool { return errors.As(err, new(ErrItemCorrupt)) }
