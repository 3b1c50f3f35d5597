package peer

import (
	"bytes"
	"errors"
	"io"

	"daisyshed.dev/core"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxFrame bounds the bytes of one envelope on the wire.
const MaxFrame = 4 << 20

// WriteFrame writes m as a length-delimited envelope and returns the number
// of bytes written.
func WriteFrame(w io.Writer, m core.PeerMessage) (int, error) {
	envelope, err := ToEnvelope(m)
	if err != nil {
		return 0, err
	}
	if size := proto.Size(envelope); size > MaxFrame {
		return 0, &FrameTooLargeError{Size: size, Limit: MaxFrame}
	}
	// One write makes one yamux frame of length and envelope.
	var frame bytes.Buffer
	if _, err := protodelim.MarshalTo(&frame, envelope); err != nil {
		return 0, &EncodeError{Cause: err}
	}
	return w.Write(frame.Bytes())
}

// ReadFrame reads one length-delimited envelope. An error other than io.EOF
// means that the stream is of no further use.
func ReadFrame(r protodelim.Reader) (core.PeerMessage, error) {
	envelope := &Envelope{}
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrame}.UnmarshalFrom(r, envelope)
	if errors.Is(err, io.EOF) {
		return core.PeerMessage{}, io.EOF
	}
	var large *protodelim.SizeTooLargeError
	if errors.As(err, &large) {
		return core.PeerMessage{}, &FrameTooLargeError{Size: int(large.Size), Limit: MaxFrame}
	}
	if err != nil {
		return core.PeerMessage{}, &DecodeError{Cause: err}
	}
	return FromEnvelope(envelope)
}
