package peer_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/peer"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"
)

// isDecodeError reports whether err is one of this package's decoding errors.
func isDecodeError(err error) bool {
	var (
		decodeErr     *peer.DecodeError
		rangeErr      *peer.RangeError
		snapshotErr   *peer.SnapshotError
		tooLarge      *peer.FrameTooLargeError
		emptyEnvelope peer.EmptyEnvelopeError
	)
	return errors.As(err, &decodeErr) || errors.As(err, &rangeErr) || errors.As(err, &snapshotErr) ||
		errors.As(err, &tooLarge) || errors.As(err, &emptyEnvelope)
}

func TestBodiesRoundTrip(t *testing.T) {
	for name, draw := range bodies {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				is := is.New(t)
				m := core.PeerMessage{From: text[core.NodeID](t, "from"), Incarnation: 9, Body: draw(t)}
				var b bytes.Buffer
				n, err := peer.WriteFrame(&b, m)
				is.NoErr(err)
				is.Equal(n, b.Len())
				frames := bufio.NewReader(&b)
				got, err := peer.ReadFrame(frames)
				is.NoErr(err)
				is.Equal(got, m)
				_, err = peer.ReadFrame(frames)
				is.Equal(err, io.EOF)
			})
		})
	}
}

func TestBodiesCoverEveryEnvelopeField(t *testing.T) {
	is := is.New(t)
	fields := (&peer.Envelope{}).ProtoReflect().Descriptor().Oneofs().ByName("Body").Fields()
	for i := range fields.Len() {
		_, ok := bodies[string(fields.Get(i).Name())]
		is.True(ok)
	}
	is.Equal(fields.Len(), len(bodies))
	is.True(fields.ByName(protoreflect.Name("VMListQuery")) != nil)
}

func TestUnreadableRecordStaysUnreadable(t *testing.T) {
	is := is.New(t)
	in := core.ConfigAnswer{Records: []core.LogRecord{{Offset: 3, At: 4, Record: core.Unreadable{Reason: "x"}}}}
	data, err := peer.Encode(core.PeerMessage{Body: in})
	is.NoErr(err)
	out, err := peer.Decode(data)
	is.NoErr(err)
	got := out.Body.(core.ConfigAnswer).Records[0]
	is.Equal(got.Offset, core.Offset(3))
	_, ok := got.Record.(core.Unreadable)
	is.True(ok)
}

// A caller chooses the id of its attempt; its placement must reach the owner whatever that is.
func TestAttemptThatIsNoTextIsSent(t *testing.T) {
	is := is.New(t)
	data, err := peer.Encode(core.PeerMessage{Body: core.PlaceForward{ID: 3, Attempt: "a\xffb"}})
	is.NoErr(err)
	out, err := peer.Decode(data)
	is.NoErr(err)
	is.Equal(out.Body.(core.PlaceForward).ID, core.ForwardID(3))
}

// Nodes of a later build send fields that this one does not know, in the envelope and in its body.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	in := core.PeerMessage{From: "a", Incarnation: 3, Body: core.PlaceForward{ID: 3, Rank: 1}}
	e, err := peer.ToEnvelope(in)
	is.NoErr(err)
	unknown := protowire.AppendString(protowire.AppendTag(nil, 999, protowire.BytesType), "later")
	e.ProtoReflect().SetUnknown(unknown)
	e.GetPlaceForward().ProtoReflect().SetUnknown(unknown)
	data, err := proto.Marshal(e)
	is.NoErr(err)
	out, err := peer.Decode(data)
	is.NoErr(err)
	is.Equal(out, in)
}

func TestInvalidEnvelopesGiveTypedErrors(t *testing.T) {
	is := is.New(t)
	_, err := peer.Decode(nil)
	is.Equal(err, peer.EmptyEnvelopeError{})
	_, err = peer.FromEnvelope(&peer.Envelope{Body: &peer.Envelope_KeyAnswer{KeyAnswer: &peer.KeyAnswer{Reason: 99}}})
	is.Equal(err, &peer.RangeError{Field: "KeyAnswer.Reason", Value: 99})
	_, err = peer.FromEnvelope(&peer.Envelope{Body: &peer.Envelope_ConfigAnswer{ConfigAnswer: &peer.ConfigAnswer{Snapshot: []byte("x")}}})
	is.True(isDecodeError(err))
}

func TestFramesOverTheLimitAreRejected(t *testing.T) {
	is := is.New(t)
	var tooLarge *peer.FrameTooLargeError
	m := core.PeerMessage{Body: core.KeyCall{Body: make([]byte, peer.MaxEnvelopeBytes)}}
	_, err := peer.WriteFrame(io.Discard, m)
	is.True(errors.As(err, &tooLarge))
	_, err = peer.ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})))
	is.True(errors.As(err, &tooLarge))
	_, err = peer.ReadFrame(bufio.NewReader(bytes.NewReader([]byte{9, 1})))
	is.True(isDecodeError(err))
}

func FuzzDecode(f *testing.F) {
	for _, draw := range bodies {
		body := rapid.Custom(func(t *rapid.T) core.PeerBody {
			// A rapid generator must draw a value, even for a body without fields.
			_ = rapid.Bool().Draw(t, "unused")
			return draw(t)
		}).Example(1)
		data, err := peer.Encode(core.PeerMessage{From: "n", Body: body})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := peer.Decode(data); err != nil && !isDecodeError(err) {
			t.Errorf("Decode: untyped error %v", err)
		}
		if _, err := peer.ReadFrame(bufio.NewReader(bytes.NewReader(data))); err != nil && err != io.EOF && !isDecodeError(err) {
			t.Errorf("ReadFrame: untyped error %v", err)
		}
	})
}
