package basilpeer

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"basilstage.example/basilstage/internal/basillog"
)

// streamGivenUp is the code of a stream whose asker or server gave up.
const streamGivenUp quic.StreamErrorCode = 1

// Ask sends the request to the peer and waits for the answer.
//
// It fails with ErrPeerUnreachable or ErrMessageTooLarge (certainly not
// delivered), ErrRequestRefused (delivered, without effect), ErrRequestFailed
// (the handler failed and may have had an effect) or ErrAnswerLost (may have been
// handled, now or later).
func (m *Mesh) Ask(ctx context.Context, peer string, r Request) (Response, error) {
	b, err := cbor.Marshal(r)
	if err != nil {
		return Response{}, errors.WithStack(err)
	}
	if len(b) > MaxRequestBytes {
		return Response{}, errors.WithStack(ErrMessageTooLarge{Bytes: len(b), Limit: MaxRequestBytes})
	}
	s, err := m.openStream(ctx, peer)
	if err != nil {
		return Response{}, errors.WithStack(ErrPeerUnreachable{Peer: peer, Cause: err})
	}
	defer context.AfterFunc(ctx, func() { giveUp(s) })()
	if err := sendWhole(s, b); err != nil {
		giveUp(s)
		return Response{}, errors.WithStack(ErrPeerUnreachable{Peer: peer, Cause: err})
	}
	var answer Response
	if err := decodeWhole(s, MaxResponseBytes, &answer); err != nil {
		giveUp(s)
		return Response{}, errors.WithStack(ErrAnswerLost{Peer: peer, Cause: err})
	}
	return answer, answer.failure(peer)
}

func (m *Mesh) openStream(ctx context.Context, peer string) (*quic.Stream, error) {
	l, found := m.link(peer)
	if !found {
		return nil, ErrNotConnected{}
	}
	n, usable := l.usable()
	if !usable {
		return nil, ErrNotConnected{}
	}
	s, err := n.conn.OpenStreamSync(ctx)
	return s, errors.WithStack(err)
}

// sendWhole writes the message and its end. The peer acts only on a message whose
// end it has read, so a failure here means that it never will.
func sendWhole(s *quic.Stream, b []byte) error {
	if _, err := s.Write(b); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(s.Close())
}

func giveUp(s *quic.Stream) {
	s.CancelWrite(streamGivenUp)
	s.CancelRead(streamGivenUp)
}

// failure returns the error that the response stands for, or nil.
func (r Response) failure(peer string) error {
	switch r.Code {
	case ResponseCodeOK:
		return nil
	case ResponseCodeRefused:
		return errors.WithStack(ErrRequestRefused{Peer: peer, Detail: r.Detail})
	default:
		return errors.WithStack(ErrRequestFailed{Peer: peer, Detail: r.Detail})
	}
}

// serveRequest reads one request, hands it to the handler and answers.
func (n *connection) serveRequest(ctx context.Context, l *link, s *quic.Stream) {
	var r Request
	if err := decodeWhole(s, MaxRequestBytes, &r); err != nil {
		s.CancelRead(streamGivenUp)
		n.refuseRequest(s, err)
		return
	}
	if !r.Kind.IsARequestKind() || r.Kind == RequestKindNone {
		n.refuseRequest(s, ErrMessageInvalid{})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.Context(), cancel)()
	answer, err := l.mesh.options.Handler.Request(ctx, l.hear(), r)
	b := encodeResponse(answer, err)
	if err := sendWhole(s, b); err != nil {
		s.CancelWrite(streamGivenUp)
		l.mesh.log.WithError(err).WithField(basillog.FieldPeer, l.id).Debug("answer not delivered")
	}
}

// refuseRequest answers a request that can't be read; a request that its asker took back gets no answer.
func (n *connection) refuseRequest(s *quic.Stream, cause error) {
	if !IsErrMessageInvalid(cause) && !IsErrMessageTooLarge(cause) {
		s.CancelWrite(streamGivenUp)
		return
	}
	if sendWhole(s, encodeResponse(Response{}, ErrRequestRefused{Detail: errors.Cause(cause).Error()})) != nil {
		s.CancelWrite(streamGivenUp)
	}
}

// encodeResponse returns the response that tells what the handler returned.
func encodeResponse(r Response, err error) []byte {
	var refused ErrRequestRefused
	switch {
	case errors.As(err, &refused):
		r = Response{Code: ResponseCodeRefused, Detail: refused.Detail}
	case err != nil:
		r = Response{Code: ResponseCodeFailed, Detail: errors.Cause(err).Error()}
	}
	b, err := cbor.Marshal(r)
	if err == nil && len(b) > MaxResponseBytes {
		err = ErrMessageTooLarge{Bytes: len(b), Limit: MaxResponseBytes}
	}
	if err != nil {
		b, _ = cbor.Marshal(Response{Code: ResponseCodeFailed, Detail: err.Error()})
	}
	return b
}
