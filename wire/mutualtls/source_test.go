package mutualtls_test

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"

	"daisyshed.dev/core"
	"daisyshed.dev/wire/mutualtls"
	"github.com/matryer/is"
)

func open(t *testing.T, f mutualtls.Files) *mutualtls.Source {
	t.Helper()
	s, err := mutualtls.Open(f, func(err error) { t.Error(err) })
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// connect connects a client to a server and returns the TLS state of both sides.
// With TLS 1.3 the client's handshake ends before the server has verified the
// client's certificate. The server therefore sends one byte after its own
// handshake, and err is nil only if the client has received it.
func connect(t *testing.T, server, client *tls.Config) (serverState, clientState tls.ConnectionState, err error) {
	t.Helper()
	// This is TCP and not a net.Pipe, which has no buffer: if both sides wrote an
	// alert at once, they would block each other.
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	states := make(chan tls.ConnectionState, 1)
	go func() { states <- acceptAndSendByte(l) }()
	tcpConn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer tcpConn.Close()
	conn := tls.Client(tcpConn, client)
	_, err = io.ReadFull(conn, make([]byte, 1))
	clientState = conn.ConnectionState()
	_ = tcpConn.Close()
	return <-states, clientState, err
}

// acceptAndSendByte accepts one connection and sends a byte if the handshake
// succeeds.
func acceptAndSendByte(l net.Listener) tls.ConnectionState {
	accepted, err := l.Accept()
	if err != nil {
		return tls.ConnectionState{}
	}
	defer accepted.Close()
	conn, ok := accepted.(*tls.Conn)
	if ok && conn.Handshake() == nil {
		_, _ = conn.Write([]byte("x"))
	}
	return conn.ConnectionState()
}

func TestBothSidesVerifyCertificates(t *testing.T) {
	is := is.New(t)
	ca, otherCA := newTestCA(t), newTestCA(t)
	server := open(t, ca.node("node-a", 1)).ServerConfig()
	b := open(t, ca.node("node-b", 2))
	_, _, err := connect(t, server, b.ClientConfig("node-a"))
	is.NoErr(err)
	_, _, err = connect(t, server, b.ClientConfig("node-c"))
	is.True(err != nil) // the server's certificate has another name
	_, _, err = connect(t, server, open(t, otherCA.node("node-b", 2)).ClientConfig("node-a"))
	is.True(err != nil) // the client's certificate was issued by another CA
	anonymous := b.ClientConfig("node-a")
	anonymous.Certificates = nil
	_, _, err = connect(t, server, anonymous)
	is.True(err != nil) // the client presents no certificate
	old := b.ClientConfig("node-a")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, _, err = connect(t, server, old)
	is.True(err != nil) // TLS 1.2 is too old
}

func TestCertificateIdentifiesOnlyItsNode(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	server := open(t, ca.node("node-a", 1)).ServerConfig()
	serverState, _, err := connect(t, server, open(t, ca.node("node-b", 2)).ClientConfig("node-a"))
	is.NoErr(err)
	is.NoErr(mutualtls.CheckNode(serverState, "node-b"))
	var identity *mutualtls.IdentityError
	is.True(errors.As(mutualtls.CheckNode(serverState, "node-c"), &identity))
	is.Equal(identity.Node, core.NodeID("node-c"))
	serverState, _, err = connect(t, server, open(t, ca.operator("jane")).ClientConfig("node-a"))
	is.NoErr(err)
	var notNode mutualtls.NotNodeError
	is.True(errors.As(mutualtls.CheckNode(serverState, "jane"), &notNode))
	is.True(errors.As(mutualtls.CheckNode(tls.ConnectionState{}, "jane"), &identity))
}

func TestChangedFilesAreReloadedWithoutRestart(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	files := ca.node("node-a", 1)
	client := open(t, ca.node("node-b", 2))
	var errs []error
	source, err := mutualtls.Open(files, func(err error) { errs = append(errs, err) })
	is.NoErr(err)
	server := source.ServerConfig()
	serial := func() int64 {
		_, clientState, err := connect(t, server, client.ClientConfig("node-a"))
		is.NoErr(err)
		return clientState.PeerCertificates[0].SerialNumber.Int64()
	}
	is.Equal(serial(), int64(1))
	ca.node("node-a", 300000)
	is.Equal(serial(), int64(300000))
	// After a failed reload the old certificate stays in use and the error is
	// reported.
	is.Equal(len(errs), 0)
	is.NoErr(os.WriteFile(files.Certificate, []byte("broken"), 0o600))
	is.Equal(serial(), int64(300000))
	var load *mutualtls.LoadError
	is.True(errors.As(errs[0], &load))
	is.NoErr(os.Remove(files.Key))
	is.Equal(serial(), int64(300000))
	ca.node("node-a", 5)
	is.Equal(serial(), int64(5))
}

func TestUnusableFilesGiveLoadErrors(t *testing.T) {
	is := is.New(t)
	ca := newTestCA(t)
	good := ca.node("node-a", 1)
	is.True(good.Complete() && good.Configured())
	for _, f := range []mutualtls.Files{
		{Certificate: good.Certificate, Key: good.Key, Authority: good.Key},
		{Certificate: good.Key, Key: good.Key, Authority: good.Authority},
		{Certificate: good.Certificate, Key: good.Key},
	} {
		_, err := mutualtls.Open(f, nil)
		var load *mutualtls.LoadError
		is.True(errors.As(err, &load))
	}
	is.True(!mutualtls.Files{Key: "k"}.Complete())
	is.True(mutualtls.Files{}.Complete() && !mutualtls.Files{}.Configured())
}
