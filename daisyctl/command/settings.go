package command

import (
	"net/http"
	"net/url"
	"os"
	"strings"

	"daisyshed.dev/wire/mutualtls"
	"daisyshed.dev/wire/settings"
)

// Settings is the file that --settings names.
type Settings struct {
	// Log is the base URL of the platform's log.
	Log string
	// Daemons are the base URLs of daemons' operator addresses. A few are
	// enough, since each knows of the others.
	Daemons []string
	// Operator is the name that publications carry.
	Operator string
	// TLS names the files of the operator's certificate, which daemons with
	// mutual TLS ask for at https URLs.
	TLS mutualtls.Files
}

// readSettings reads the file, if one is named, and lets flags override it.
func (g *global) readSettings() (Settings, error) {
	var s Settings
	if g.Settings != "" {
		data, err := os.ReadFile(g.Settings)
		if err != nil {
			return s, &InvalidError{What: "settings", Problem: err.Error()}
		}
		if err := settings.Parse(g.Settings, data, &s).Err(); err != nil {
			return s, err
		}
	}
	if g.Log != "" {
		s.Log = g.Log
	}
	if len(g.Daemons) > 0 {
		s.Daemons = g.Daemons
	}
	if g.Operator != "" {
		s.Operator = g.Operator
	}
	if s.Operator == "" {
		s.Operator = os.Getenv("USER")
	}
	if err := s.check(); err != nil {
		return s, err
	}
	return s, g.useTLS(s.TLS)
}

func (s *Settings) check() error {
	s.Log = strings.TrimSuffix(s.Log, "/")
	if s.Log != "" && !isBase(s.Log) {
		return &InvalidError{What: "Log", Problem: "must be a URL such as http://127.0.0.1:7000"}
	}
	for i, d := range s.Daemons {
		s.Daemons[i] = strings.TrimSuffix(d, "/")
		if !isBase(s.Daemons[i]) {
			return &InvalidError{What: "Daemons", Problem: d + " must be a URL such as http://127.0.0.11:7200"}
		}
	}
	return nil
}

// useTLS makes the connections to daemons present the operator's certificate.
func (g *global) useTLS(files mutualtls.Files) error {
	if !files.Given() {
		return nil
	}
	if !files.Whole() {
		return &InvalidError{What: "TLS", Problem: "must name Certificate, Key and Authority, or none of them"}
	}
	source, err := mutualtls.Open(files, func(error) {})
	if err != nil {
		return &InvalidError{What: "TLS", Problem: err.Error()}
	}
	g.http.Transport = &http.Transport{TLSClientConfig: source.Client("")}
	return nil
}

func isBase(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
