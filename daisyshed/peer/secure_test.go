package peer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	"daisyshed.dev/wire/mutualtls"
	"github.com/matryer/is"
)

// selfSigned writes a self-signed certificate and its key for a node, and appends
// the certificate to the authority that all nodes of the test trust.
func selfSigned(t *testing.T, authority *bytes.Buffer, dir, node string) mutualtls.Files {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), DNSNames: []string{node}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	certificate := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data})
	authority.Write(certificate)
	files := mutualtls.Files{
		Certificate: filepath.Join(dir, node+".pem"),
		Key:         filepath.Join(dir, node+".key"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	is.NoErr(os.WriteFile(files.Certificate, certificate, 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret}), 0o600))
	return files
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// waitForFault waits for the first fault and returns it.
func (m *meter) waitForFault() error {
	for len(m.faultsSoFar()) == 0 {
		runtime.Gosched()
	}
	return m.faultsSoFar()[0]
}

// securePair returns a transport that sends as node a with the certificate of
// certificateNode, or without TLS if that is empty. It also returns the meter of
// node b, the address of b and the messages that b receives.
func securePair(t *testing.T, certificateNode string) (*peer.Transport, *meter, string, chan core.Message) {
	t.Helper()
	is := is.New(t)
	dir := t.TempDir()
	var authority bytes.Buffer
	files := map[string]mutualtls.Files{}
	for _, node := range []string{"a", "b", "c"} {
		files[node] = selfSigned(t, &authority, dir, node)
	}
	is.NoErr(os.WriteFile(filepath.Join(dir, "authority.pem"), authority.Bytes(), 0o600))
	source := func(node string) *mutualtls.Source {
		s, err := mutualtls.Open(files[node], func(err error) { t.Error(err) })
		is.NoErr(err)
		return s
	}
	inbox := make(chan core.Message, 1)
	faults := &meter{}
	b := &peer.Transport{
		Self: "b", Meter: faults, Limits: limits, TLS: source("b"), Receive: func(m core.Message) { inbox <- m },
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = b.Serve(l) }()
	a := &peer.Transport{Self: "a", Incarnation: 7, Meter: &meter{}, Limits: limits, Dial: dialTCP}
	if certificateNode != "" {
		a.TLS = source(certificateNode)
	}
	t.Cleanup(func() {
		_ = l.Close()
		a.Close()
		b.Close()
	})
	return a, faults, l.Addr().String(), inbox
}

func TestNodeSendsOnlyUnderItsOwnName(t *testing.T) {
	is := is.New(t)
	a, _, address, inbox := securePair(t, "a")
	a.Enqueue("b", address, core.Heartbeat{Sequence: 1})
	is.Equal(<-inbox, core.PeerMessage{From: "a", Incarnation: 7, Protocol: core.LatestProtocol, Body: core.Heartbeat{Sequence: 1}})

	impostor, faults, address, inbox := securePair(t, "c")
	impostor.Enqueue("b", address, core.Heartbeat{Sequence: 1})
	var identity *mutualtls.IdentityError
	is.True(errors.As(faults.waitForFault(), &identity))
	is.Equal(len(inbox), 0)

	plain, faults, address, inbox := securePair(t, "")
	plain.Enqueue("b", address, core.Heartbeat{Sequence: 1})
	var handshake *peer.HandshakeError
	is.True(errors.As(faults.waitForFault(), &handshake))
	is.Equal(len(inbox), 0)
}
