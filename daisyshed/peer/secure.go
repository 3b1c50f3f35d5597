package peer

import (
	"context"
	"crypto/tls"
	"net"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/mutualtls"
)

// identityCheck says whether the other side of a connection may speak as a
// node.
type identityCheck func(core.NodeID) error

// anyNode is the check of a plain connection.
func anyNode(core.NodeID) error { return nil }

// secureTo puts TLS on a connection to a node, whose certificate must name it.
func (t *Transport) secureTo(ctx context.Context, conn net.Conn, to core.NodeID) (net.Conn, error) {
	if t.TLS == nil {
		return conn, nil
	}
	secure := tls.Client(conn, t.TLS.Client(string(to)))
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, &HandshakeError{Cause: err}
	}
	return secure, nil
}

// secureFrom puts TLS on a connection that was accepted.
func (t *Transport) secureFrom(conn net.Conn) (net.Conn, identityCheck, error) {
	if t.TLS == nil {
		return conn, anyNode, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.Limits.DialTimeout)
	defer cancel()
	secure := tls.Server(conn, t.TLS.Server())
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, nil, &HandshakeError{Cause: err}
	}
	state := secure.ConnectionState()
	return secure, func(node core.NodeID) error { return mutualtls.CheckNode(state, node) }, nil
}

// HandshakeError says that a connection with another node could not be secured.
type HandshakeError struct{ Cause error }

// Error describes the fault.
func (e *HandshakeError) Error() string { return "peer: no secure connection: " + e.Cause.Error() }

// Unwrap returns the fault that TLS reported.
func (e *HandshakeError) Unwrap() error { return e.Cause }
