package basiljob

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"basilstage.example/basilstage/internal/basilplatform"
	"basilstage.example/basilstage/pkg/basilapi"
)

// ErrNotMinted says that this incarnation never minted the id.
type ErrNotMinted struct{ ID basilapi.JobID }

func (e ErrNotMinted) Error() string {
	return fmt.Sprintf("job id was not minted here [id: %s]", e.ID)
}

// IsErrNotMinted tells whether the error is an ErrNotMinted.
func IsErrNotMinted(err error) bool { return errors.As(err, new(ErrNotMinted)) }

// ErrRequestConflict says that the id already stands for a different request.
type ErrRequestConflict struct{ ID basilapi.JobID }

func (e ErrRequestConflict) Error() string {
	return fmt.Sprintf("job id is in use by a different request [id: %s]", e.ID)
}

// IsErrRequestConflict tells whether the error is an ErrRequestConflict.
func IsErrRequestConflict(err error) bool { return errors.As(err, new(ErrRequestConflict)) }

// ErrTooLate says that a cancel can't prove that the job was not run.
type ErrTooLate struct{ ID basilapi.JobID }

func (e ErrTooLate) Error() string {
	return fmt.Sprintf("cancel came too late [id: %s]", e.ID)
}

// IsErrTooLate tells whether the error is an ErrTooLate.
func IsErrTooLate(err error) bool { return errors.As(err, new(ErrTooLate)) }

// ErrJobNotExist says that the table holds no such job.
type ErrJobNotExist struct{ ID basilapi.JobID }

func (e ErrJobNotExist) Error() string {
	return fmt.Sprintf("job does not exist [id: %s]", e.ID)
}

// IsErrJobNotExist tells whether the error is an ErrJobNotExist.
func IsErrJobNotExist(err error) bool { return errors.As(err, new(ErrJobNotExist)) }

// ErrNothingFree says that no host can take the job now.
type ErrNothingFree struct{ RetryAfter time.Duration }

func (e ErrNothingFree) Error() string {
	return fmt.Sprintf("no host is free for the job [retry after: %s]", e.RetryAfter)
}

// IsErrNothingFree tells whether the error is an ErrNothingFree.
func IsErrNothingFree(err error) bool { return errors.As(err, new(ErrNothingFree)) }

// ErrFitsNoHost says that no host of the fleet could ever take the job.
type ErrFitsNoHost struct {
	Service       string
	Cores         int
	MemoryMB      int
	LargestCores  int // of any host that runs the service
	LargestMemory int // MB, of any host that runs the service
}

func (e ErrFitsNoHost) Error() string {
	return fmt.Sprintf("job fits no host [service: %s, cores: %d of %d, memory: %d of %d MB]",
		e.Service, e.Cores, e.LargestCores, e.MemoryMB, e.LargestMemory)
}

// IsErrFitsNoHost tells whether the error is an ErrFitsNoHost.
func IsErrFitsNoHost(err error) bool { return errors.As(err, new(ErrFitsNoHost)) }

// ErrItemCorrupt says that a stored item can't be read or fails its checksum.
type ErrItemCorrupt struct {
	Key   basilplatform.Key
	Cause error // nil for a wrong checksum
}

func (e ErrItemCorrupt) Error() string {
	return fmt.Sprintf("stored item is corrupt [partition: %s, sort: %s, cause: %v]", e.Key.Partition, e.Key.Sort, e.Cause)
}

// Unwrap returns the cause.
func (e ErrItemCorrupt) Unwrap() error { return e.Cause }

// IsErrItemCorrupt tells whether the error is an ErrItemCorrupt.
func IsErrItemCorrupt(err error) bool { return errors.As(err, new(ErrItemCorrupt)) }
