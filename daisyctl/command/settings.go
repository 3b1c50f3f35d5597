package command

import (
	"net/http"
	"net/url"
	"os"
	"strings"

	"daisyshed.dev/wire/mutualtls"
	"daisyshed.dev/wire/settings"
)

// Settings is the content of the file given with --settings.
type Settings struct {
	// Log is the base URL of the platform's log.
	Log string
	// Daemons lists base URLs of daemons' operator addresses. A few are enough,
	// since each daemon reports the status of the other members.
	Daemons []string
	// Operator is the name that publications carry.
	Operator string
	// TLS names the files of the operator's certificate, which daemons with
	// mutual TLS require at https URLs.
	TLS mutualtls.Files
}

// readSettings reads the settings file, if one is given, and overrides it with
// command-line options. It also sets up TLS for connections to daemons.
func (g *globalOptions) readSettings() (Settings, error) {
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

// check validates the URLs and removes trailing slashes from them.
func (s *Settings) check() error {
	s.Log = strings.TrimSuffix(s.Log, "/")
	if s.Log != "" && !isBaseURL(s.Log) {
		return &InvalidError{What: "Log", Problem: "must be a URL such as http://127.0.0.1:7000"}
	}
	for i, d := range s.Daemons {
		s.Daemons[i] = strings.TrimSuffix(d, "/")
		if !isBaseURL(s.Daemons[i]) {
			return &InvalidError{What: "Daemons", Problem: d + " must be a URL such as http://127.0.0.11:7200"}
		}
	}
	return nil
}

// useTLS configures the HTTP client to present the operator's certificate to
// daemons.
func (g *globalOptions) useTLS(files mutualtls.Files) error {
	if !files.Configured() {
		return nil
	}
	if !files.Complete() {
		return &InvalidError{What: "TLS", Problem: "must name Certificate, Key and Authority, or none of them"}
	}
	source, err := mutualtls.Open(files, func(error) {})
	if err != nil {
		return &InvalidError{What: "TLS", Problem: err.Error()}
	}
	g.http.Transport = &http.Transport{TLSClientConfig: source.ClientConfig("")}
	return nil
}

func isBaseURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
