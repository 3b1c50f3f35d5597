package settings

import (
	"net"
	"net/url"
	"os"
	"reflect"
	"strconv"

	"daisyshed.dev/wire/settings"
)

// ReadError says that a settings file could not be read at all.
type ReadError struct{ Cause error }

// Error describes the fault.
func (e *ReadError) Error() string { return "settings: " + e.Cause.Error() }

// Unwrap returns the system's error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Read returns the settings in a file, or all its faults as settings.Faults.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &ReadError{Cause: err}
	}
	return Parse(file, data)
}

// Parse returns the settings in data; file names them in faults.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	d := settings.Parse(file, data, &s)
	s.check(d)
	return s, d.Err()
}

func (s Settings) check(d *settings.Document) {
	required(d, "Node", string(s.Node))
	required(d, "Domain", string(s.Domain))
	required(d, "Region", string(s.Region))
	address(d, "CallerAddress", s.CallerAddress)
	address(d, "PeerAddress", s.PeerAddress)
	address(d, "OperatorAddress", s.OperatorAddress)
	base(d, "Log", s.Log)
	base(d, "VMList", s.VMList)
	s.checkDistinct(d)
	if !s.TLS.Whole() {
		d.Fault("TLS", "must name Certificate, Key and Authority, or none of them")
	}
	for i, seed := range s.Seeds {
		seed.check(d, "Seeds["+strconv.Itoa(i)+"].")
	}
	positive(d, "Limits", reflect.ValueOf(s.Limits))
	positive(d, "Periods", reflect.ValueOf(s.Periods))
}

// checkDistinct reports listeners that share an address.
func (s Settings) checkDistinct(d *settings.Document) {
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress {
		d.Fault("PeerAddress", "must differ from CallerAddress")
	}
	if s.OperatorAddress != "" && (s.OperatorAddress == s.CallerAddress || s.OperatorAddress == s.PeerAddress) {
		d.Fault("OperatorAddress", "must differ from CallerAddress and PeerAddress")
	}
}

func (s Seed) check(d *settings.Document, prefix string) {
	required(d, prefix+"Node", string(s.Node))
	required(d, prefix+"Domain", string(s.Domain))
	required(d, prefix+"Region", string(s.Region))
	address(d, prefix+"PeerAddress", s.PeerAddress)
	address(d, prefix+"CallerAddress", s.CallerAddress)
}

func required(d *settings.Document, field, value string) {
	if value == "" {
		d.Fault(field, "is missing")
	}
}

func address(d *settings.Document, field, value string) {
	if value == "" {
		d.Fault(field, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || number == 0 || net.ParseIP(host) == nil {
		d.Fault(field, "must be an IP number and a port, such as 127.0.0.1:7000")
	}
}

func base(d *settings.Document, field, value string) {
	if value == "" {
		d.Fault(field, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		d.Fault(field, "must be a URL that begins with http://")
	}
}

// positive reports the fields of a group that are not above zero.
func positive(d *settings.Document, group string, v reflect.Value) {
	for i := range v.NumField() {
		if v.Field(i).Int() <= 0 {
			d.Fault(group+"."+v.Type().Field(i).Name, "must be above zero")
		}
	}
}
