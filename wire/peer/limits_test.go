package peer_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/peer"
	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
)

// allocated returns how many bytes f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// frameOf returns a frame with an envelope whose body has one empty element after another.
func frameOf(body, field protowire.Number, elements int) []byte {
	element := append(protowire.AppendTag(nil, field, protowire.BytesType), 0)
	envelope := protowire.AppendTag(nil, body, protowire.BytesType)
	envelope = protowire.AppendBytes(envelope, bytes.Repeat(element, elements))
	return protowire.AppendBytes(nil, envelope)
}

// An element takes two bytes of a frame and hundreds in memory, so that a frame within the
// limit of bytes could fill the memory of the node.
func TestFrameOfEmptyElementsIsRejected(t *testing.T) {
	const heartbeat, updates, instancesChanged, changed, stateAnswer, instances = 3, 3, 34, 3, 25, 4
	for name, f := range map[string]struct{ body, field protowire.Number }{
		"updates": {heartbeat, updates}, "changed": {instancesChanged, changed}, "instances": {stateAnswer, instances},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			frame := frameOf(f.body, f.field, 1<<20)
			var err error
			n := allocated(func() { _, err = peer.ReadFrame(bufio.NewReader(bytes.NewReader(frame))) })
			if n > 32<<20 {
				t.Errorf("allocated %d MB", n>>20)
			}
			var tooMany *peer.TooManyFieldsError
			is.True(errors.As(err, &tooMany))
			is.True(isDecodeError(err))
		})
	}
}

// A frame that only announces its size must not take that much memory.
func TestAnnouncedFrameIsNotAllocated(t *testing.T) {
	is := is.New(t)
	announced := protowire.AppendVarint(nil, peer.MaxEnvelopeBytes)
	var err error
	n := allocated(func() { _, err = peer.ReadFrame(bufio.NewReader(bytes.NewReader(announced))) })
	if n > 256<<10 {
		t.Errorf("allocated %d KB", n>>10)
	}
	is.True(err != nil)
}

// The largest lists that nodes send stay readable.
func TestLongListIsRead(t *testing.T) {
	is := is.New(t)
	in := core.InstancesChanged{Removed: make([]core.EngineID, 30_000)}
	for i := range in.Removed {
		in.Removed[i] = "i-0123456789"
	}
	var frame bytes.Buffer
	_, err := peer.WriteFrame(&frame, core.PeerMessage{From: "n", Body: in})
	is.NoErr(err)
	m, err := peer.ReadFrame(bufio.NewReader(&frame))
	is.NoErr(err)
	is.Equal(len(m.Body.(core.InstancesChanged).Removed), len(in.Removed))
	_, err = peer.ReadFrame(bufio.NewReader(&frame))
	is.Equal(err, io.EOF)
}

// A message that its receiver would reject is not sent.
func TestTooLongListIsNotSent(t *testing.T) {
	is := is.New(t)
	in := core.InstancesChanged{Removed: make([]core.EngineID, peer.MaxEnvelopeFields)}
	_, err := peer.WriteFrame(io.Discard, core.PeerMessage{From: "n", Body: in})
	var tooMany *peer.TooManyFieldsError
	is.True(errors.As(err, &tooMany))
}
