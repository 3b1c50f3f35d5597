package command

import (
	"net/url"
	"os"
	"strings"

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
	return s, s.check()
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

func isBase(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
