// Command daisyshed is the router's daemon, one on each entry VM. It accepts
// callers' requests and forwards them to upstreams.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/settings"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/platform"
	"daisyshed.dev/wire/mutualtls"
	wire "daisyshed.dev/wire/settings"
	"github.com/jessevdk/go-flags"
)

// Exit codes. exitCodesHelp describes them in the output of --help.
const (
	exitOK           = 0
	exitFailure      = 1
	exitSettings     = 2
	exitAddressInUse = 3
	exitIncomplete   = 4
	exitCodesHelp    = `Exit codes:
  0: shut down after all requests finished, or --check found no fault
  1: failed while running
  2: invalid command line or settings
  3: an address is in use by another process
  4: shut down before all requests finished: a second signal arrived, or
     Periods.ShutdownTimeout passed

Signals:
  SIGTERM, SIGINT: stop being listed in address responses, finish requests in
     progress, exit; a second one exits at once
`
)

type options struct {
	Settings  string   `long:"settings" value-name:"FILE" description:"read settings from this YAML file"`
	Hosted    bool     `long:"hosted" description:"run on the platform, with the settings file that DAISYSHED_SETTINGS names"`
	Without   []string `long:"without" value-name:"MECHANISM" description:"with --hosted, leave a part of the placement out, to measure what it gives; may be repeated: OwnedGroups, ShortFirst, LearnedOutput, RoleChanges, KnownReturners, EarlyRefusal, LateReserve, DecodePrefill, OverrunReserve, ReturnSchedule, FairShares, RankShares, SlowOwners"`
	Advertise string   `long:"advertise-peer" value-name:"ADDRESS" description:"with --hosted, the address at which other nodes reach this one, if it is not the one that it listens on"`
	Source    string   `long:"source-address" value-name:"IP" description:"with --hosted, the local address of connections to upstreams, other nodes and the store, on a VM with several"`
	Check     bool     `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var opts options
	parser := flags.NewNamedParser("daisyshed", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Runs the daemon of one entry VM."
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(err)
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Printf("%s\nSettings:\n%s\n%s", flagErr.Message, settings.Describe(), exitCodesHelp)
		return exitOK
	}
	if err != nil {
		return fail(err)
	}
	if len(rest) > 0 {
		return fail(&ExtraArgumentError{Argument: rest[0]})
	}
	if opts.Hosted {
		disabled, err := parseMechanisms(opts.Without)
		if err != nil {
			return fail(err)
		}
		source, err := parseSource(opts.Source)
		if err != nil {
			return fail(err)
		}
		return runHosted(opts.Check, opts.Advertise, source, disabled)
	}
	if opts.Settings == "" {
		return fail(&MissingSettingsError{})
	}
	s, err := settings.Read(opts.Settings)
	if err != nil {
		return fail(err)
	}
	if err := checkTLS(s); err != nil {
		return fail(err)
	}
	if opts.Check {
		fmt.Println(opts.Settings + ": no faults")
		return exitOK
	}
	return serve(s)
}

// ExtraArgumentError reports a positional argument on the command line, of
// which the daemon accepts none.
type ExtraArgumentError struct{ Argument string }

// Error returns a message that names the argument.
func (e *ExtraArgumentError) Error() string { return "daisyshed: unexpected argument " + e.Argument }

// MissingSettingsError reports a command line with neither --settings nor
// --hosted.
type MissingSettingsError struct{}

// Error returns a message that names the two options.
func (*MissingSettingsError) Error() string {
	return "daisyshed: either --settings FILE or --hosted is required"
}

// SourceAddressError reports a --source-address that is no IP address.
type SourceAddressError struct{ Value string }

// Error returns the message with the value.
func (e *SourceAddressError) Error() string {
	return "daisyshed: --source-address: not an IP address: " + e.Value
}

// parseSource parses the local address of connections; nil leaves it to the system.
func parseSource(value string) (net.Addr, error) {
	if value == "" {
		return nil, nil
	}
	ip, err := netip.ParseAddr(value)
	if err != nil {
		return nil, &SourceAddressError{Value: value}
	}
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)), nil
}

// parseMechanisms parses the names of mechanisms given with --without.
func parseMechanisms(names []string) (core.Set[core.Mechanism], error) {
	set := core.Set[core.Mechanism]{}
	for _, name := range names {
		m, err := core.MechanismNamed(name)
		if err != nil {
			return nil, err
		}
		set.Add(m)
	}
	return set, nil
}

// serve runs an unhosted daemon and returns its exit code.
func serve(s settings.Settings) int {
	d, closeDaemon, err := openDaemon(s)
	if err != nil {
		return fail(err)
	}
	defer closeDaemon()
	return d.run()
}

// fail prints err to standard error and returns its exit code.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

// exitCode maps an error to an exit code.
func exitCode(err error) int {
	var (
		flagErr      *flags.Error
		extraErr     *ExtraArgumentError
		missingErr   *MissingSettingsError
		platformErr  *platform.SettingsError
		mechanismErr *core.UnknownMechanismError
		sourceErr    *SourceAddressError
		readErr      *settings.ReadError
		faults       wire.Faults
		tlsErr       *mutualtls.LoadError
		inUseErr     *tcp.InUseError
	)
	switch {
	case errors.As(err, &flagErr), errors.As(err, &extraErr), errors.As(err, &readErr), errors.As(err, &missingErr), errors.As(err, &platformErr),
		errors.As(err, &mechanismErr), errors.As(err, &sourceErr), errors.As(err, &faults),
		errors.As(err, &tlsErr):
		return exitSettings
	case errors.As(err, &inUseErr):
		return exitAddressInUse
	default:
		return exitFailure
	}
}
