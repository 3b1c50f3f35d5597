package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"slices"

	"daisyshed.dev/core"
)

// IdentityError says that a certificate does not stand for a node.
type IdentityError struct {
	Node  core.NodeID
	Cause error
}

// Error names the node that was claimed.
func (e *IdentityError) Error() string {
	return "mutual TLS: the certificate is not that of node " + string(e.Node) + ": " + e.Cause.Error()
}

// Unwrap returns the fault below.
func (e *IdentityError) Unwrap() error { return e.Cause }

// NotNodeError says that a certificate is for clients only, as an operator's
// is.
type NotNodeError struct{}

// Error describes the fault.
func (NotNodeError) Error() string { return "it is for clients only" }

// CheckNode checks that the other side of a connection, whose certificate was
// verified, is the node that it says it is. A node's certificate names its id
// and is for servers as well as for clients, an operator's for clients only.
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
