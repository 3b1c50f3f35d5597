package main

import (
	"crypto/tls"
	"net"

	"daisyshed.dev/daisyshed/settings"
	"daisyshed.dev/wire/mutualtls"
	"github.com/rs/zerolog"
)

// checkTLS reports files of certificates that cannot be used.
func checkTLS(s settings.Settings) error {
	_, err := openTLS(s, func(error) {})
	return err
}

// openTLS returns the source of certificates, or nil if the settings name none.
func openTLS(s settings.Settings, fault func(error)) (*mutualtls.Source, error) {
	if !s.TLS.Given() {
		return nil, nil
	}
	return mutualtls.Open(s.TLS, fault)
}

// secured puts TLS on a listener if there is a source of certificates.
func secured(l net.Listener, source *mutualtls.Source) net.Listener {
	if source == nil {
		return l
	}
	return tls.NewListener(l, source.Server())
}

// logTLS says whether nodes and operators need a certificate.
func logTLS(log zerolog.Logger, source *mutualtls.Source) {
	if source == nil {
		log.Warn().Str("Event", "PlainConnections").
			Str("Detail", "the settings name no TLS files: nodes and operators connect without certificates").Send()
		return
	}
	log.Info().Str("Event", "MutualTLS").
		Str("Detail", "nodes and operators need a certificate; callers connect without one").Send()
}
