package basilapi

import "github.com/oklog/ulid/v2"

// NewJobIDWithSerial returns the id of the incarnation that has the given serial.
func NewJobIDWithSerial(dataCentre string, incarnation, serial ulid.ULID) JobID {
	return JobID{dataCentre: dataCentre, incarnation: incarnation, serial: serial}
}
