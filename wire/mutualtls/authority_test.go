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

// testCA is a certificate authority that writes its own certificate and those
// that it issues to a directory.
type testCA struct {
	t           *testing.T
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	ca := &testCA{t: t, dir: t.TempDir(), key: newKey(t)}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, ca.key.Public(), ca.key)
	if err != nil {
		t.Fatal(err)
	}
	if ca.certificate, err = x509.ParseCertificate(data); err != nil {
		t.Fatal(err)
	}
	ca.writePEM("authority.pem", "CERTIFICATE", data)
	return ca
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (ca *testCA) writePEM(name, blockType string, data []byte) {
	ca.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: data})
	if err := os.WriteFile(filepath.Join(ca.dir, name), text, 0o600); err != nil {
		ca.t.Fatal(err)
	}
}

// issue writes a certificate for a node or an operator, and its private key.
// Tests tell certificates of the same name apart by their serial numbers.
func (ca *testCA) issue(name string, serial int64, usage ...x509.ExtKeyUsage) mutualtls.Files {
	ca.t.Helper()
	key := newKey(ca.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: usage,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	data, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, key.Public(), ca.key)
	if err != nil {
		ca.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		ca.t.Fatal(err)
	}
	ca.writePEM(name+".pem", "CERTIFICATE", data)
	ca.writePEM(name+".key", "PRIVATE KEY", keyDER)
	return mutualtls.Files{
		Certificate: filepath.Join(ca.dir, name+".pem"),
		Key:         filepath.Join(ca.dir, name+".key"),
		Authority:   filepath.Join(ca.dir, "authority.pem"),
	}
}

func (ca *testCA) node(name string, serial int64) mutualtls.Files {
	return ca.issue(name, serial, x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth)
}

func (ca *testCA) operator(name string) mutualtls.Files {
	return ca.issue(name, 9, x509.ExtKeyUsageClientAuth)
}
