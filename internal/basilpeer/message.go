package basilpeer

import (
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Limits of single messages.
const (
	MaxDeltaBytes    = 2 << 20  // one delta
	MaxRequestBytes  = 1 << 20  // one request
	MaxResponseBytes = 16 << 20 // one response; the state of 13,000 hosts takes several megabytes
	maxHelloBytes    = 4 << 10  // what opens a connection
)

// Delta tells what is new at its sender; fields left empty say nothing.
type Delta struct {
	Sequence    int64         `cbor:"1,keyasint,omitempty"` // newest audit sequence that the sender applied
	Revision    int64         `cbor:"2,keyasint,omitempty"` // newest configuration revision that it applied
	Entries     [][]byte      `cbor:"3,keyasint,omitempty"` // newly committed audit entries as JSON
	Leaving     []LeavingHost `cbor:"4,keyasint,omitempty"` // backend servers that the sender saw leaving
	Load        []PoolLoad    `cbor:"5,keyasint,omitempty"` // what the sender is asked for, by pool
	Answers     [][]byte      `cbor:"6,keyasint,omitempty"` // copies of final answers
	Ready       bool          `cbor:"7,keyasint,omitempty"` // the sender takes callers
	Stopping    bool          `cbor:"8,keyasint,omitempty"` // the sender is in a planned stop
	Incarnation string        `cbor:"9,keyasint,omitempty"` // of the sender; the receiving mesh fills it in
}

// LeavingHost is a backend server host that takes no new work.
type LeavingHost struct {
	Host  string `cbor:"1,keyasint"`
	Epoch int64  `cbor:"2,keyasint,omitempty"`
}

// PoolLoad is how many slots the jobs in progress and in line at the sender ask for.
type PoolLoad struct {
	Pool  string `cbor:"1,keyasint"`
	Slots int    `cbor:"2,keyasint,omitempty"`
}

// Request asks one peer for something; the kind tells how the body reads.
type Request struct {
	Kind RequestKind `cbor:"1,keyasint"`
	Body []byte      `cbor:"2,keyasint,omitempty"`
}

// Response is what the peer answers.
type Response struct {
	Code   ResponseCode `cbor:"1,keyasint,omitempty"`
	Body   []byte       `cbor:"2,keyasint,omitempty"`
	Detail string       `cbor:"3,keyasint,omitempty"` // why, unless the code is ResponseCodeOK
}

// hello opens a connection, once in each direction.
type hello struct {
	DataCentre  string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
}

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		IndefLength:     cbor.IndefLengthForbidden,
		TagsMd:          cbor.TagsForbidden,
		MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeWhole reads one message that ends with its stream; it fails with ErrMessageInvalid.
func decodeWhole(r io.Reader, limit int, message any) error {
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return errors.WithStack(err)
	}
	if len(b) > limit {
		return errors.WithStack(ErrMessageTooLarge{Bytes: len(b), Limit: limit})
	}
	if err := decoding.Unmarshal(b, message); err != nil {
		return errors.WithStack(ErrMessageInvalid{Cause: err})
	}
	return nil
}

// messageReader reads messages that follow each other on one stream, each within a limit.
type messageReader struct {
	limited *io.LimitedReader
	decoder *cbor.Decoder
}

func newMessageReader(r io.Reader) *messageReader {
	l := &io.LimitedReader{R: r}
	return &messageReader{limited: l, decoder: decoding.NewDecoder(l)}
}

// next reads one message; it fails with ErrMessageTooLarge or ErrMessageInvalid.
func (r *messageReader) next(limit int, message any) error {
	r.limited.N = int64(limit)
	err := r.decoder.Decode(message)
	switch {
	case err == nil:
		return nil
	case r.limited.N <= 0:
		return errors.WithStack(ErrMessageTooLarge{Bytes: limit + 1, Limit: limit})
	}
	return errors.WithStack(ErrMessageInvalid{Cause: err})
}
