package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"

	"daisyshed.dev/core"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxEnvelopeBytes is the maximum size of one encoded envelope, without its
	// length prefix.
	MaxEnvelopeBytes = 4 << 20
	// MaxEnvelopeFields is the maximum number of fields in an envelope, with those of its
	// body, where each element of a list is a field. A field of two bytes may take some
	// hundred bytes of memory.
	MaxEnvelopeFields = 64 << 10
)

// checkFields returns a *TooManyFieldsError if an encoded envelope has more than
// MaxEnvelopeFields fields. It does not check that the rest is valid.
func checkFields(envelope []byte) error {
	n := 0
	for len(envelope) > 0 {
		number, kind, size := protowire.ConsumeTag(envelope)
		if size < 0 {
			return nil
		}
		value := envelope[size:]
		length := protowire.ConsumeFieldValue(number, kind, value)
		if length < 0 {
			return nil
		}
		n++
		if body, size := protowire.ConsumeBytes(value); kind == protowire.BytesType && size >= 0 {
			n += countFields(body)
		}
		if n > MaxEnvelopeFields {
			return &TooManyFieldsError{Limit: MaxEnvelopeFields}
		}
		envelope = value[length:]
	}
	return nil
}

// countFields counts the fields of an encoded message up to the first that is invalid.
func countFields(message []byte) int {
	n := 0
	for len(message) > 0 {
		_, _, size := protowire.ConsumeField(message)
		if size < 0 {
			break
		}
		message = message[size:]
		n++
	}
	return n
}

// WriteFrame writes m as an envelope with a length prefix and returns the number
// of bytes written.
func WriteFrame(w io.Writer, m core.PeerMessage) (int, error) {
	frame, err := EncodeFrame(m)
	if err != nil {
		return 0, err
	}
	// A single write lets yamux send the length and the envelope in one frame.
	return w.Write(frame)
}

// EncodeFrame encodes m as an envelope with a length prefix. What cannot be encoded gives
// an *[UnknownBodyError], *[FrameTooLargeError] or *[EncodeError].
func EncodeFrame(m core.PeerMessage) ([]byte, error) {
	envelope, err := ToEnvelope(m)
	if err != nil {
		return nil, err
	}
	if size := proto.Size(envelope); size > MaxEnvelopeBytes {
		return nil, &FrameTooLargeError{Size: size, Limit: MaxEnvelopeBytes}
	}
	data, err := proto.Marshal(envelope)
	if err != nil {
		return nil, &EncodeError{Cause: err}
	}
	if err := checkFields(data); err != nil {
		return nil, &EncodeError{Cause: err}
	}
	return append(protowire.AppendVarint(nil, uint64(len(data))), data...), nil
}

// ReadFrame reads one envelope with a length prefix and returns its message. It
// returns io.EOF at the end of the stream. After any other error but
// [EmptyEnvelopeError] the stream must not be read any further.
func ReadFrame(r protodelim.Reader) (core.PeerMessage, error) {
	size, err := binary.ReadUvarint(r)
	if errors.Is(err, io.EOF) {
		return core.PeerMessage{}, io.EOF
	}
	if err != nil {
		return core.PeerMessage{}, &DecodeError{Cause: err}
	}
	if size > MaxEnvelopeBytes {
		return core.PeerMessage{}, &FrameTooLargeError{Size: int(min(size, math.MaxInt)), Limit: MaxEnvelopeBytes}
	}
	// The buffer grows with the bytes that arrive, not with the size that is announced.
	var data bytes.Buffer
	_, err = io.CopyN(&data, r, int64(size))
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return core.PeerMessage{}, &DecodeError{Cause: err}
	}
	return Decode(data.Bytes())
}
