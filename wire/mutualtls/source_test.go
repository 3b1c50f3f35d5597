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

// connect makes a connection and returns what the server's side saw of the
// client and what the client's side saw of the server. The server sends one
// byte once its handshake is done; a client without it got nothing.
func connect(t *testing.T, server, client *tls.Config) (seen, answered tls.ConnectionState, err error) {
	t.Helper()
	// A pipe has no buffer, so that two sides that write alerts would block.
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	states := make(chan tls.ConnectionState, 1)
	go func() { states <- greet(l) }()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	conn := tls.Client(near, client)
	_, err = io.ReadFull(conn, make([]byte, 1))
	answered = conn.ConnectionState()
	_ = near.Close()
	return <-states, answered, err
}

// greet takes one connection and sends a byte to a client that may connect.
func greet(l net.Listener) tls.ConnectionState {
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

func TestBothSidesAreChecked(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	server := open(t, ours.node("node-a", 1)).Server()
	b := open(t, ours.node("node-b", 2))
	_, _, err := connect(t, server, b.Client("node-a"))
	is.NoErr(err)
	_, _, err = connect(t, server, b.Client("node-c"))
	is.True(err != nil) // the server is not who the client wants
	_, _, err = connect(t, server, open(t, theirs.node("node-b", 2)).Client("node-a"))
	is.True(err != nil) // another authority
	anonymous := b.Client("node-a")
	anonymous.Certificates = nil
	_, _, err = connect(t, server, anonymous)
	is.True(err != nil) // no certificate
	old := b.Client("node-a")
	old.MinVersion, old.MaxVersion = tls.VersionTLS12, tls.VersionTLS12
	_, _, err = connect(t, server, old)
	is.True(err != nil) // an old version
}

func TestACertificateStandsForItsNodeOnly(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server := open(t, a.node("node-a", 1)).Server()
	seen, _, err := connect(t, server, open(t, a.node("node-b", 2)).Client("node-a"))
	is.NoErr(err)
	is.NoErr(mutualtls.CheckNode(seen, "node-b"))
	var identity *mutualtls.IdentityError
	is.True(errors.As(mutualtls.CheckNode(seen, "node-c"), &identity))
	is.Equal(identity.Node, core.NodeID("node-c"))
	seen, _, err = connect(t, server, open(t, a.operator("jane")).Client("node-a"))
	is.NoErr(err)
	var notNode mutualtls.NotNodeError
	is.True(errors.As(mutualtls.CheckNode(seen, "jane"), &notNode))
	is.True(errors.As(mutualtls.CheckNode(tls.ConnectionState{}, "jane"), &identity))
}

func TestChangedFilesAreReadWithoutARestart(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	files := a.node("node-a", 1)
	client := open(t, a.node("node-b", 2))
	var faults []error
	source, err := mutualtls.Open(files, func(err error) { faults = append(faults, err) })
	is.NoErr(err)
	server := source.Server()
	serial := func() int64 {
		_, answered, err := connect(t, server, client.Client("node-a"))
		is.NoErr(err)
		return answered.PeerCertificates[0].SerialNumber.Int64()
	}
	is.Equal(serial(), int64(1))
	a.node("node-a", 300000)
	is.Equal(serial(), int64(300000))
	// A broken file leaves the old certificate in use, and is told of.
	is.Equal(len(faults), 0)
	is.NoErr(os.WriteFile(files.Certificate, []byte("broken"), 0o600))
	is.Equal(serial(), int64(300000))
	var load *mutualtls.LoadError
	is.True(errors.As(faults[0], &load))
	is.NoErr(os.Remove(files.Key))
	is.Equal(serial(), int64(300000))
	a.node("node-a", 5)
	is.Equal(serial(), int64(5))
}

func TestUnusableFilesAreNamed(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	good := a.node("node-a", 1)
	is.True(good.Whole() && good.Given())
	for _, f := range []mutualtls.Files{
		{Certificate: good.Certificate, Key: good.Key, Authority: good.Key},
		{Certificate: good.Key, Key: good.Key, Authority: good.Authority},
		{Certificate: good.Certificate, Key: good.Key},
	} {
		_, err := mutualtls.Open(f, nil)
		var load *mutualtls.LoadError
		is.True(errors.As(err, &load))
	}
	is.True(!mutualtls.Files{Key: "k"}.Whole())
	is.True(mutualtls.Files{}.Whole() && !mutualtls.Files{}.Given())
}
