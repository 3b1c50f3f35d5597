package mutualtls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"daisyshed.dev/wire/mutualtls"
)

// authority signs certificates and writes them to a directory.
type authority struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(data); err != nil {
		t.Fatal(err)
	}
	a.write("authority.pem", "CERTIFICATE", data)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) write(name, kind string, data []byte) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	if err := os.WriteFile(filepath.Join(a.dir, name), text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// sign writes a certificate that names a node or an operator, and its key. Its
// serial number is given, so that a test can tell certificates apart.
func (a *authority) sign(name string, serial int64, usage ...x509.ExtKeyUsage) mutualtls.Files {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: usage,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+".pem", "CERTIFICATE", data)
	a.write(name+".key", "PRIVATE KEY", secret)
	return mutualtls.Files{
		Certificate: filepath.Join(a.dir, name+".pem"),
		Key:         filepath.Join(a.dir, name+".key"),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

func (a *authority) node(name string, serial int64) mutualtls.Files {
	return a.sign(name, serial, x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth)
}

func (a *authority) operator(name string) mutualtls.Files {
	return a.sign(name, 9, x509.ExtKeyUsageClientAuth)
}
