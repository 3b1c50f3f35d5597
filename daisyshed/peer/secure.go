package peer

import (
	"context"
	"crypto/tls"
	"net"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/mutualtls"
)

// identityCheck returns an error if the other side of a connection may not send
// messages as the given node.
type identityCheck func(core.NodeID) error

// acceptAnyNode is the identityCheck of a connection without TLS.
func acceptAnyNode(core.NodeID) error { return nil }

// secureClient performs the client's TLS handshake on a connection to a node, whose
// certificate must name it. It returns conn itself if TLS is not configured.
func (t *Transport) secureClient(ctx context.Context, conn net.Conn, to core.NodeID) (net.Conn, error) {
	if t.TLS == nil {
		return conn, nil
	}
	secure := tls.Client(conn, t.TLS.ClientConfig(string(to)))
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, &HandshakeError{Cause: err}
	}
	return secure, nil
}

// secureServer performs the server's TLS handshake on an accepted connection. It
// returns conn itself if TLS is not configured.
func (t *Transport) secureServer(conn net.Conn) (net.Conn, identityCheck, error) {
	if t.TLS == nil {
		return conn, acceptAnyNode, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), t.Limits.DialTimeout)
	defer cancel()
	secure := tls.Server(conn, t.TLS.ServerConfig())
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, nil, &HandshakeError{Cause: err}
	}
	state := secure.ConnectionState()
	return secure, func(node core.NodeID) error { return mutualtls.CheckNode(state, node) }, nil
}

// HandshakeError reports that the TLS handshake with another node failed.
type HandshakeError struct{ Cause error }

// Error implements error.
func (e *HandshakeError) Error() string { return "peer: TLS handshake failed: " + e.Cause.Error() }

// Unwrap returns the error that TLS reported.
func (e *HandshakeError) Unwrap() error { return e.Cause }
