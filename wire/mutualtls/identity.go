package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"daisyshed.dev/core"
)

// IdentityError reports that a connection's certificate does not identify Node.
type IdentityError struct {
	Node  core.NodeID
	Cause error
}

// Error names the expected node and the cause.
func (e *IdentityError) Error() string {
	return "mutual TLS: peer certificate does not identify node " + string(e.Node) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IdentityError) Unwrap() error { return e.Cause }

// NotNodeError reports that a certificate is not valid for server
// authentication, as a node's must be. An operator's is for clients only.
type NotNodeError struct{}

// Error names the missing key usage.
func (NotNodeError) Error() string { return "certificate is not valid for server authentication" }

// CheckNode checks that the certificate of the other side of a connection, which
// the TLS handshake has verified, identifies node. A node's certificate contains
// its ID as a DNS name and is valid for server and client authentication; an
// operator's certificate is valid for client authentication only.
func CheckNode(state tls.ConnectionState, node core.NodeID) error {
	if len(state.PeerCertificates) == 0 {
		return &IdentityError{Node: node, Cause: NoCertificateError{}}
	}
	certificate := state.PeerCertificates[0]
	if !slices.Contains(certificate.ExtKeyUsage, x509.ExtKeyUsageServerAuth) {
		return &IdentityError{Node: node, Cause: NotNodeError{}}
	}
	if err := certificate.VerifyHostname(string(node)); err != nil {
		return &IdentityError{Node: node, Cause: err}
	}
	return nil
}
