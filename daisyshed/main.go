// Command daisyshed is the daemon of one entry VM.
package main

import (
	"errors"
	"fmt"
	"os"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/settings"
	"daisyshed.dev/daisyshed/tcp"
	"daisyshed.dev/platform"
	"daisyshed.dev/wire/mutualtls"
	wire "daisyshed.dev/wire/settings"
	"github.com/jessevdk/go-flags"
)

// The exit codes, as listed by --help.
const (
	exitOK        = 0
	exitFailure   = 1
	exitSettings  = 2
	exitInUse     = 3
	exitCutShort  = 4
	exitCodesHelp = `Exit codes:
  0: stopped after finishing all work, or --check found no fault
  1: failed while running
  2: faulty command line or settings
  3: an address is in use by another process
  4: stopped before all work was finished: a second signal came, or
     Periods.ShutdownTimeout passed

Signals:
  SIGTERM, SIGINT: leave the address answers, finish, stop; a second one stops at once
`
)

type options struct {
	Settings string   `long:"settings" value-name:"FILE" description:"read settings from this YAML file"`
	Hosted   bool     `long:"hosted" description:"run on the platform, with the settings file that DAISYSHED_SETTINGS names"`
	Without  []string `long:"without" value-name:"MECHANISM" description:"with --hosted, leave a part of the placement out, to measure what it gives; may be repeated: OwnedGroups, ShortFirst, LearnedOutput, RoleChanges, KnownReturners, EarlyRefusal"`
	Check    bool     `long:"check" description:"check the settings and exit"`
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
	var flagged *flags.Error
	if errors.As(err, &flagged) && flagged.Type == flags.ErrHelp {
		fmt.Printf("%s\nSettings:\n%s\n%s", flagged.Message, settings.Describe(), exitCodesHelp)
		return exitOK
	}
	if err != nil {
		return fail(err)
	}
	if len(rest) > 0 {
		return fail(&ExtraArgumentError{Argument: rest[0]})
	}
	if opts.Hosted {
		without, err := mechanisms(opts.Without)
		if err != nil {
			return fail(err)
		}
		return runHosted(opts.Check, without)
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

// ExtraArgumentError says that the command line holds an argument that the
// daemon does not take.
type ExtraArgumentError struct{ Argument string }

// Error names the argument.
func (e *ExtraArgumentError) Error() string { return "daisyshed: unknown argument " + e.Argument }

// MissingSettingsError says that the command line names no settings.
type MissingSettingsError struct{}

// Error describes the fault.
func (*MissingSettingsError) Error() string {
	return "daisyshed: one of --settings FILE and --hosted is required"
}

// mechanisms returns the mechanisms of the given names.
func mechanisms(names []string) (core.Set[core.Mechanism], error) {
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

func serve(s settings.Settings) int {
	d, closeDaemon, err := openDaemon(s)
	if err != nil {
		return fail(err)
	}
	defer closeDaemon()
	return d.run()
}

// fail prints err and returns the exit code that belongs to it.
func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	var (
		flagged  *flags.Error
		extra    *ExtraArgumentError
		missing  *MissingSettingsError
		hosted   *platform.SettingsError
		unknown  *core.UnknownMechanismError
		unread   *settings.ReadError
		faults   wire.Faults
		unusable *mutualtls.LoadError
		inUse    *tcp.InUseError
	)
	switch {
	case errors.As(err, &flagged), errors.As(err, &extra), errors.As(err, &unread), errors.As(err, &missing), errors.As(err, &hosted),
		errors.As(err, &unknown), errors.As(err, &faults),
		errors.As(err, &unusable):
		return exitSettings
	case errors.As(err, &inUse):
		return exitInUse
	default:
		return exitFailure
	}
}
