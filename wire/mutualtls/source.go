// Package mutualtls gives both sides of a connection a certificate and checks
// that of the other side. Files that change are read again without a restart.
package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// Files name the PEM files of one process.
type Files struct {
	// Certificate and Key are the process's own.
	Certificate string `help:"PEM file of this process's certificate"`
	Key         string `help:"PEM file of the certificate's private key"`
	// Authority holds the certificates that sign those of the others.
	Authority string `help:"PEM file of the authority that signs all certificates"`
}

// Given reports whether any file is named.
func (f Files) Given() bool { return f != Files{} }

// Whole reports whether all files are named, or none.
func (f Files) Whole() bool {
	return !f.Given() || f.Certificate != "" && f.Key != "" && f.Authority != ""
}

// LoadError says that a certificate, key or authority cannot be used.
type LoadError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *LoadError) Error() string { return "mutual TLS: " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the fault below.
func (e *LoadError) Unwrap() error { return e.Cause }

// NoCertificateError says that a file holds no certificate.
type NoCertificateError struct{}

// Error describes the fault.
func (NoCertificateError) Error() string { return "holds no certificate" }

// Source gives the configurations for connections from files that may change.
type Source struct {
	files Files
	fault func(error)

	mu     sync.Mutex
	loaded loaded
	stamps [3]stamp
}

// loaded is what the files held when they were last read in full.
type loaded struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// stamp tells whether a file has changed.
type stamp struct {
	modified time.Time
	size     int64
}

// Open reads the files. Later, fault is told when changed files cannot be used;
// the old ones stay in use then.
func Open(f Files, fault func(error)) (*Source, error) {
	s := &Source{files: f, fault: fault}
	stamps, err := f.stamps()
	if err != nil {
		return nil, err
	}
	s.stamps = stamps
	s.loaded, err = f.load()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Server returns the configuration of a listener, which takes in nobody without
// a valid certificate.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.authority,
				// A resumed session would skip the check against a changed
				// authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the configuration of one connection to the process that the
// certificate must name: a node's id, or the host of a URL.
func (s *Source) Client(name string) *tls.Config {
	l := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   name,
		Certificates: []tls.Certificate{l.certificate},
		RootCAs:      l.authority,
	}
}

// current returns what the files hold now.
func (s *Source) current() loaded {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.files.stamps()
	if err != nil {
		s.fault(err)
		return s.loaded
	}
	if stamps == s.stamps {
		return s.loaded
	}
	fresh, err := s.files.load()
	if err != nil {
		// The files may be half replaced, so they are read again next time.
		s.fault(err)
		return s.loaded
	}
	s.loaded = fresh
	s.stamps = stamps
	return s.loaded
}

func (f Files) stamps() ([3]stamp, error) {
	var stamps [3]stamp
	for i, file := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			return stamps, &LoadError{File: file, Cause: err}
		}
		stamps[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (f Files) load() (loaded, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return loaded{}, &LoadError{File: f.Certificate, Cause: err}
	}
	text, err := os.ReadFile(f.Authority)
	if err != nil {
		return loaded{}, &LoadError{File: f.Authority, Cause: err}
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(text) {
		return loaded{}, &LoadError{File: f.Authority, Cause: NoCertificateError{}}
	}
	return loaded{certificate: certificate, authority: authority}, nil
}
