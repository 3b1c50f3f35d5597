package settings

import (
	"net"
	"net/url"
	"os"
	"reflect"
	"strconv"

	"daisyshed.dev/wire/settings"
)

// ReadError reports that a settings file could not be read.
type ReadError struct{ Cause error }

// Error returns a message with the cause.
func (e *ReadError) Error() string { return "settings: cannot read file: " + e.Cause.Error() }

// Unwrap returns the operating system's error.
func (e *ReadError) Unwrap() error { return e.Cause }

// Read reads and parses a settings file. The error is a *ReadError, or lists all
// invalid fields as a settings.Faults of the wire module.
func Read(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, &ReadError{Cause: err}
	}
	return Parse(file, data)
}

// Parse parses settings from data and checks them. file is the file name used in
// error messages.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	d := settings.Parse(file, data, &s)
	s.check(d)
	return s, d.Err()
}

// check reports all fields that are missing or invalid to d.
func (s Settings) check(d *settings.Document) {
	checkRequired(d, "Node", string(s.Node))
	checkRequired(d, "Domain", string(s.Domain))
	checkRequired(d, "Region", string(s.Region))
	checkAddress(d, "CallerAddress", s.CallerAddress)
	checkAddress(d, "PeerAddress", s.PeerAddress)
	checkAddress(d, "OperatorAddress", s.OperatorAddress)
	checkBaseURL(d, "Log", s.Log)
	checkBaseURL(d, "VMList", s.VMList)
	s.checkDistinct(d)
	if !s.TLS.Complete() {
		d.AddFaultOnce("TLS", "must name Certificate, Key and Authority, or none of them")
	}
	for i, seed := range s.Seeds {
		seed.check(d, "Seeds["+strconv.Itoa(i)+"].")
	}
	checkPositive(d, "Limits", reflect.ValueOf(s.Limits))
	checkPositive(d, "Periods", reflect.ValueOf(s.Periods))
}

// checkDistinct reports listeners that have the same address.
func (s Settings) checkDistinct(d *settings.Document) {
	if s.PeerAddress != "" && s.PeerAddress == s.CallerAddress {
		d.AddFaultOnce("PeerAddress", "must differ from CallerAddress")
	}
	if s.OperatorAddress != "" && (s.OperatorAddress == s.CallerAddress || s.OperatorAddress == s.PeerAddress) {
		d.AddFaultOnce("OperatorAddress", "must differ from CallerAddress and PeerAddress")
	}
}

func (s Seed) check(d *settings.Document, prefix string) {
	checkRequired(d, prefix+"Node", string(s.Node))
	checkRequired(d, prefix+"Domain", string(s.Domain))
	checkRequired(d, prefix+"Region", string(s.Region))
	checkAddress(d, prefix+"PeerAddress", s.PeerAddress)
	checkAddress(d, prefix+"CallerAddress", s.CallerAddress)
}

func checkRequired(d *settings.Document, field, value string) {
	if value == "" {
		d.AddFaultOnce(field, "is missing")
	}
}

func checkAddress(d *settings.Document, field, value string) {
	if value == "" {
		d.AddFaultOnce(field, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(value)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || portErr != nil || number == 0 || net.ParseIP(host) == nil {
		d.AddFaultOnce(field, "must be an IP address and a port, such as 127.0.0.1:7000")
	}
}

func checkBaseURL(d *settings.Document, field, value string) {
	if value == "" {
		d.AddFaultOnce(field, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		d.AddFaultOnce(field, "must be a URL that begins with http://")
	}
}

// checkPositive reports the fields of the struct v that are not above zero. All
// of them must be integers or durations.
func checkPositive(d *settings.Document, group string, v reflect.Value) {
	for i := range v.NumField() {
		if v.Field(i).Int() <= 0 {
			d.AddFaultOnce(group+"."+v.Type().Field(i).Name, "must be above zero")
		}
	}
}
