package peer_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"syscall"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/peer"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestRelayHandshakeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var b bytes.Buffer
		node, engine := text[core.NodeID](t, "node"), text[core.EngineID](t, "engine")
		reply := peer.RelayReply{
			Opened: rapid.Bool().Draw(t, "opened"), Rejected: rapid.Bool().Draw(t, "rejected"),
			Rejection: enum(t, "rejection", core.RelayUnknownUpstream),
		}
		is.NoErr(peer.WriteRelayHello(&b, node))
		is.NoErr(peer.WriteRelayOpen(&b, engine))
		is.NoErr(peer.WriteRelayReply(&b, reply))
		first, err := b.ReadByte()
		is.NoErr(err)
		is.Equal(first, byte(peer.RelayPreamble))
		r := bufio.NewReader(&b)
		gotNode, err := peer.ReadRelayHello(r)
		is.NoErr(err)
		gotEngine, err := peer.ReadRelayOpen(r)
		is.NoErr(err)
		gotReply, err := peer.ReadRelayReply(r)
		is.NoErr(err)
		is.Equal(gotNode, node)
		is.Equal(gotEngine, engine)
		is.Equal(gotReply, reply)
	})
}

func TestInvalidRelayHandshakeIsRejected(t *testing.T) {
	is := is.New(t)
	var decode *peer.DecodeError
	_, err := peer.ReadRelayOpen(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0x7f}))
	is.True(errors.As(err, &decode))
	var outOfRange *peer.RangeError
	_, err = peer.ReadRelayReply(bytes.NewReader([]byte{2, 24, 99}))
	is.True(errors.As(err, &outOfRange))
}

// The three ways in which a relayed connection ends must not be taken for one another.
func TestChunksKeepBytesAndEnd(t *testing.T) {
	for name, test := range map[string]struct {
		end  []byte
		want error
	}{
		"closed":  {peer.AppendChunkEnd(nil, true), nil},
		"broken":  {peer.AppendChunkEnd(nil, false), syscall.ECONNRESET},
		"no mark": {nil, io.ErrUnexpectedEOF},
		"partial": {[]byte{0}, io.ErrUnexpectedEOF},
		"short":   {[]byte{0, 9}, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := peer.AppendChunk(peer.AppendChunk(nil, []byte("some ")), bytes.Repeat([]byte("x"), peer.MaxChunkBytes))
			c := &peer.ChunkReader{Source: bytes.NewReader(append(b, test.end...))}
			got, err := io.ReadAll(c)
			is.True(errors.Is(err, test.want))
			is.Equal(len(got), 5+peer.MaxChunkBytes)
		})
	}
}
