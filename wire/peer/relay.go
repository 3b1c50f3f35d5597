package peer

import (
	"io"

	"daisyshed.dev/core"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

const (
	// RelayPreamble is the first byte of a connection that carries relayed connections. No
	// yamux session begins with it.
	RelayPreamble = 0x01
	// maxRelayMessageBytes is the maximum size of one encoded message of the handshake.
	maxRelayMessageBytes = 1 << 10
)

// RelayReply is the answer to a request to relay a connection.
type RelayReply struct {
	Opened bool
	// Rejected is set if the node does not relay the connection, for the reason Rejection.
	// If neither is set, the node could not connect to the upstream.
	Rejected  bool
	Rejection core.RelayRejection
}

// WriteRelayHello writes what begins a connection that carries relayed connections.
func WriteRelayHello(w io.Writer, from core.NodeID) error {
	return writeRelayMessage(w, []byte{RelayPreamble}, &RelayHello{From: string(from)})
}

// ReadRelayHello reads the message that follows RelayPreamble and returns the sender.
func ReadRelayHello(r protodelim.Reader) (core.NodeID, error) {
	m := &RelayHello{}
	err := readRelayMessage(r, m)
	return core.NodeID(m.GetFrom()), err
}

// WriteRelayOpen writes the first message of a relayed connection.
func WriteRelayOpen(w io.Writer, engine core.EngineID) error {
	return writeRelayMessage(w, nil, &RelayOpen{Engine: string(engine)})
}

// ReadRelayOpen reads the first message of a relayed connection and returns the upstream.
func ReadRelayOpen(r protodelim.Reader) (core.EngineID, error) {
	m := &RelayOpen{}
	err := readRelayMessage(r, m)
	return core.EngineID(m.GetEngine()), err
}

// WriteRelayReply writes the answer to a request to relay a connection.
func WriteRelayReply(w io.Writer, reply RelayReply) error {
	return writeRelayMessage(w, nil, &RelayAnswer{Opened: reply.Opened, Rejected: reply.Rejected, Rejection: uint32(reply.Rejection)})
}

// ReadRelayReply reads the answer to a request to relay a connection. An unknown reason
// gives a *[RangeError].
func ReadRelayReply(r protodelim.Reader) (RelayReply, error) {
	m := &RelayAnswer{}
	if err := readRelayMessage(r, m); err != nil {
		return RelayReply{}, err
	}
	if m.GetRejection() > uint32(core.RelayUnknownUpstream) {
		return RelayReply{}, &RangeError{Field: "RelayAnswer.Rejection", Value: m.GetRejection()}
	}
	return RelayReply{Opened: m.GetOpened(), Rejected: m.GetRejected(), Rejection: core.RelayRejection(m.GetRejection())}, nil
}

// writeRelayMessage writes prefix and a message with its length in a single write.
func writeRelayMessage(w io.Writer, prefix []byte, m proto.Message) error {
	b := relayBuffer(prefix)
	if _, err := protodelim.MarshalTo(&b, m); err != nil {
		return &EncodeError{Cause: err}
	}
	_, err := w.Write(b)
	return err
}

// relayBuffer collects what is to be written.
type relayBuffer []byte

// Write implements io.Writer.
func (b *relayBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

func readRelayMessage(r protodelim.Reader, m proto.Message) error {
	if err := (protodelim.UnmarshalOptions{MaxSize: maxRelayMessageBytes}).UnmarshalFrom(r, m); err != nil {
		return &DecodeError{Cause: err}
	}
	return nil
}
