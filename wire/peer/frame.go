package peer

import (
	"bytes"
	"errors"
	"io"

	"daisyshed.dev/core"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxEnvelopeBytes is the maximum size of one encoded envelope, without its
// length prefix.
const MaxEnvelopeBytes = 4 << 20

// WriteFrame writes m as an envelope with a length prefix and returns the number
// of bytes written.
func WriteFrame(w io.Writer, m core.PeerMessage) (int, error) {
	envelope, err := ToEnvelope(m)
	if err != nil {
		return 0, err
	}
	if size := proto.Size(envelope); size > MaxEnvelopeBytes {
		return 0, &FrameTooLargeError{Size: size, Limit: MaxEnvelopeBytes}
	}
	// A single write lets yamux send the length and the envelope in one frame.
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, envelope); err != nil {
		return 0, &EncodeError{Cause: err}
	}
	return w.Write(frame.Bytes())
}

// ReadFrame reads one envelope with a length prefix and returns its message. It
// returns io.EOF at the end of the stream. After any other error the stream must
// not be read any further.
func ReadFrame(r protodelim.Reader) (core.PeerMessage, error) {
	envelope := &Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxEnvelopeBytes}.UnmarshalFrom(r, envelope)
	if errors.Is(err, io.EOF) {
		return core.PeerMessage{}, io.EOF
	}
	var tooLarge *protodelim.SizeTooLargeError
	if errors.As(err, &tooLarge) {
		return core.PeerMessage{}, &FrameTooLargeError{Size: int(tooLarge.Size), Limit: MaxEnvelopeBytes}
	}
	if err != nil {
		return core.PeerMessage{}, &DecodeError{Cause: err}
	}
	return FromEnvelope(envelope)
}
