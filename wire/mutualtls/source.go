// Package mutualtls configures TLS connections on which both sides present a
// certificate and verify that of the other side. Certificate files that change
// are reloaded without a restart.
package mutualtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// Files holds the paths of the PEM files of one process.
type Files struct {
	// Certificate and Key are the files of this process's certificate and private
	// key.
	Certificate string `help:"PEM file of this process's certificate"`
	Key         string `help:"PEM file of the certificate's private key"`
	// Authority is the file of the CA certificates against which the certificates
	// of other processes are verified.
	Authority string `help:"PEM file of the authority that signs all certificates"`
}

// Configured reports whether at least one path is set.
func (f Files) Configured() bool { return f != Files{} }

// Complete reports whether either all paths are set or none.
func (f Files) Complete() bool {
	return !f.Configured() || f.Certificate != "" && f.Key != "" && f.Authority != ""
}

// LoadError reports that a certificate, key or CA file cannot be loaded.
type LoadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *LoadError) Error() string { return "mutual TLS: " + e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LoadError) Unwrap() error { return e.Cause }

// NoCertificateError reports that a file contains no certificate, or that the
// other side of a connection presented none.
type NoCertificateError struct{}

// Error says that there is no certificate.
func (NoCertificateError) Error() string { return "no certificate found" }

// Source provides TLS configurations and reloads the certificate files when they
// change.
type Source struct {
	files   Files
	onError func(error)

	mu         sync.Mutex
	loaded     credentials
	fileStates [3]fileState
}

// credentials are the contents of the files from the last time that all of them
// were loaded successfully.
type credentials struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// fileState is compared to detect that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// Open loads the files and returns an error if that fails. If files change later
// and cannot be reloaded, onError is called and the previous credentials stay in
// use.
func Open(f Files, onError func(error)) (*Source, error) {
	s := &Source{files: f, onError: onError}
	states, err := f.fileStates()
	if err != nil {
		return nil, err
	}
	s.fileStates = states
	s.loaded, err = f.load()
	if err != nil {
		return nil, err
	}
	return s, nil
}

// ServerConfig returns the configuration of a listener that accepts only clients with
// a valid certificate.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			l := s.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{l.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    l.authority,
				// A resumed session would not be verified against a changed
				// certificate authority.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the configuration of one connection to a server whose
// certificate must contain name, such as a node's ID. For an http.Transport
// name is empty, because the transport fills in the host of the URL.
func (s *Source) ClientConfig(name string) *tls.Config {
	l := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   name,
		Certificates: []tls.Certificate{l.certificate},
		RootCAs:      l.authority,
	}
}

// current returns the credentials in use, after reloading them if a file has
// changed.
func (s *Source) current() credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	states, err := s.files.fileStates()
	if err != nil {
		s.onError(err)
		return s.loaded
	}
	if states == s.fileStates {
		return s.loaded
	}
	fresh, err := s.files.load()
	if err != nil {
		// The files may be only partly replaced, so s.fileStates is left unchanged
		// and the next call loads them again.
		s.onError(err)
		return s.loaded
	}
	s.loaded = fresh
	s.fileStates = states
	return s.loaded
}

func (f Files) fileStates() ([3]fileState, error) {
	var states [3]fileState
	for i, file := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(file)
		if err != nil {
			return states, &LoadError{File: file, Cause: err}
		}
		states[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return states, nil
}

func (f Files) load() (credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return credentials{}, &LoadError{File: f.Certificate, Cause: err}
	}
	caPEM, err := os.ReadFile(f.Authority)
	if err != nil {
		return credentials{}, &LoadError{File: f.Authority, Cause: err}
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(caPEM) {
		return credentials{}, &LoadError{File: f.Authority, Cause: NoCertificateError{}}
	}
	return credentials{certificate: certificate, authority: authority}, nil
}
