package main

import (
	"crypto/tls"
	"net"

	"daisyshed.dev/daisyshed/settings"
	"daisyshed.dev/wire/mutualtls"
	"github.com/rs/zerolog"
)

// checkTLS returns an error if the TLS files of the settings cannot be used.
func checkTLS(s settings.Settings) error {
	_, err := openTLS(s, func(error) {})
	return err
}

// openTLS returns the source of certificates, or nil if the settings name no TLS
// files. onError is called if changed files cannot be used later.
func openTLS(s settings.Settings, onError func(error)) (*mutualtls.Source, error) {
	if !s.TLS.Configured() {
		return nil, nil
	}
	return mutualtls.Open(s.TLS, onError)
}

// withTLS wraps a listener with mutual TLS if there is a source of certificates.
func withTLS(l net.Listener, source *mutualtls.Source) net.Listener {
	if source == nil {
		return l
	}
	return tls.NewListener(l, source.ServerConfig())
}

// logTLS logs whether nodes and operators need a client certificate.
func logTLS(log zerolog.Logger, source *mutualtls.Source) {
	if source == nil {
		log.Warn().Str("Event", "PlainConnections").
			Str("Detail", "no TLS files in the settings: connections from nodes and operators are neither encrypted nor authenticated").Send()
		return
	}
	log.Info().Str("Event", "MutualTLS").
		Str("Detail", "nodes and operators must present a client certificate; callers connect without TLS").Send()
}
