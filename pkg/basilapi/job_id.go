package basilapi

import (
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
)

const jobIDParts = 3

// JobID names a job, the data centre and the incarnation of the entry host that minted it.
type JobID struct {
	dataCentre  string
	incarnation ulid.ULID
	serial      ulid.ULID
}

// NewJobID returns a fresh id minted by the incarnation.
func NewJobID(dataCentre string, incarnation ulid.ULID) JobID {
	return JobID{dataCentre: dataCentre, incarnation: incarnation, serial: ulid.Make()}
}

// ParseJobID reads the text form; it fails with ErrJobIDMalformed.
func ParseJobID(s string) (JobID, error) {
	p := strings.Split(s, ".")
	if len(p) != jobIDParts || p[0] == "" {
		return JobID{}, errors.WithStack(ErrJobIDMalformed{Text: s})
	}
	incarnation, err := ulid.ParseStrict(p[1])
	if err != nil {
		return JobID{}, errors.WithStack(ErrJobIDMalformed{Text: s})
	}
	serial, err := ulid.ParseStrict(p[2])
	if err != nil {
		return JobID{}, errors.WithStack(ErrJobIDMalformed{Text: s})
	}
	return JobID{dataCentre: p[0], incarnation: incarnation, serial: serial}, nil
}

// DataCentre returns the data centre of the minting entry host.
func (j JobID) DataCentre() string { return j.dataCentre }

// Incarnation returns the incarnation of the minting entry host.
func (j JobID) Incarnation() ulid.ULID { return j.incarnation }

// Serial returns the part that tells ids of one incarnation apart.
func (j JobID) Serial() ulid.ULID { return j.serial }

// IsZero tells whether there is no id.
func (j JobID) IsZero() bool { return j == JobID{} }

// String returns the text form, or "" for no id.
func (j JobID) String() string {
	if j.IsZero() {
		return ""
	}
	return j.dataCentre + "." + j.incarnation.String() + "." + j.serial.String()
}

// MarshalText encodes the text form.
func (j JobID) MarshalText() ([]byte, error) { return []byte(j.String()), nil }

// UnmarshalText decodes the text form; "" is no id.
func (j *JobID) UnmarshalText(b []byte) error {
	if len(b) == 0 {
		*j = JobID{}
		return nil
	}
	parsed, err := ParseJobID(string(b))
	*j = parsed
	return err
}
