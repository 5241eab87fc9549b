package basilpeer

import (
	"fmt"

	"github.com/pkg/errors"
)

// ErrPeerUnreachable says that the request was certainly not delivered.
type ErrPeerUnreachable struct {
	Peer  string
	Cause error
}

func (e ErrPeerUnreachable) Error() string {
	return fmt.Sprintf("peer unreachable [peer: %s, cause: %v]", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e ErrPeerUnreachable) Unwrap() error { return e.Cause }

// IsErrPeerUnreachable tells whether the error is an ErrPeerUnreachable.
func IsErrPeerUnreachable(err error) bool { return errors.As(err, new(ErrPeerUnreachable)) }

// ErrAnswerLost says that the peer may have handled the request, but no whole answer came.
type ErrAnswerLost struct {
	Peer  string
	Cause error
}

func (e ErrAnswerLost) Error() string {
	return fmt.Sprintf("answer of peer lost [peer: %s, cause: %v]", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e ErrAnswerLost) Unwrap() error { return e.Cause }

// IsErrAnswerLost tells whether the error is an ErrAnswerLost.
func IsErrAnswerLost(err error) bool { return errors.As(err, new(ErrAnswerLost)) }

// ErrRequestRefused says that the request had no effect at the peer; a handler returns it to refuse one.
type ErrRequestRefused struct {
	Peer   string
	Detail string
}

func (e ErrRequestRefused) Error() string {
	return fmt.Sprintf("request refused [peer: %s, detail: %s]", e.Peer, e.Detail)
}

// IsErrRequestRefused tells whether the error is an ErrRequestRefused.
func IsErrRequestRefused(err error) bool { return errors.As(err, new(ErrRequestRefused)) }

// ErrRequestFailed says that the peer's handler failed; the request may have had an effect.
type ErrRequestFailed struct {
	Peer   string
	Detail string
}

func (e ErrRequestFailed) Error() string {
	return fmt.Sprintf("request failed at peer [peer: %s, detail: %s]", e.Peer, e.Detail)
}

// IsErrRequestFailed tells whether the error is an ErrRequestFailed.
func IsErrRequestFailed(err error) bool { return errors.As(err, new(ErrRequestFailed)) }

// ErrMessageTooLarge says that a message exceeds its limit.
type ErrMessageTooLarge struct{ Bytes, Limit int }

func (e ErrMessageTooLarge) Error() string {
	return fmt.Sprintf("message too large [bytes: %d, limit: %d]", e.Bytes, e.Limit)
}

// IsErrMessageTooLarge tells whether the error is an ErrMessageTooLarge.
func IsErrMessageTooLarge(err error) bool { return errors.As(err, new(ErrMessageTooLarge)) }

// ErrMessageInvalid says that a message can't be decoded or did not come whole.
type ErrMessageInvalid struct{ Cause error }

func (e ErrMessageInvalid) Error() string {
	return fmt.Sprintf("message invalid [cause: %v]", e.Cause)
}

// Unwrap returns the cause.
func (e ErrMessageInvalid) Unwrap() error { return e.Cause }

// IsErrMessageInvalid tells whether the error is an ErrMessageInvalid.
func IsErrMessageInvalid(err error) bool { return errors.As(err, new(ErrMessageInvalid)) }

// ErrIdentityRefused says that the other side is not the member that it should be.
type ErrIdentityRefused struct{ Want, Got string }

func (e ErrIdentityRefused) Error() string {
	return fmt.Sprintf("identity refused [want: %s, got: %s]", e.Want, e.Got)
}

// IsErrIdentityRefused tells whether the error is an ErrIdentityRefused.
func IsErrIdentityRefused(err error) bool { return errors.As(err, new(ErrIdentityRefused)) }

// ErrNotConnected says that no connection to the peer stands.
type ErrNotConnected struct{}

func (ErrNotConnected) Error() string { return "not connected" }

// IsErrNotConnected tells whether the error is an ErrNotConnected.
func IsErrNotConnected(err error) bool { return errors.As(err, new(ErrNotConnected)) }

// ErrAddressInvalid says that an address is no IP:port.
type ErrAddressInvalid struct{ Address string }

func (e ErrAddressInvalid) Error() string {
	return fmt.Sprintf("address invalid, want IP:port [address: %s]", e.Address)
}

// IsErrAddressInvalid tells whether the error is an ErrAddressInvalid.
func IsErrAddressInvalid(err error) bool { return errors.As(err, new(ErrAddressInvalid)) }
