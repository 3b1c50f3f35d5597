package command

import (
	"errors"
	"fmt"

	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/settings"
	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	ExitOK         = 0
	ExitFailed     = 1
	ExitInvalid    = 2
	ExitConflict   = 3
	ExitNotInForce = 4
	ExitUnknown    = 5
)

const exitHelp = `
Exit codes:
  0  done; for publications: accepted and in force on all live nodes
  1  failed, and nothing was changed
  2  the command line, the settings or a document is invalid
  3  conflict: another publication was accepted first
  4  accepted, but not in force on all live nodes in time
  5  it is not known whether the publication took effect
`

// exitCode returns the exit code for a command's error.
func exitCode(err error) int {
	var (
		usage      *flags.Error
		faults     settings.Faults
		invalid    *InvalidError
		conflict   *ConflictError
		notInForce *NotInForceError
		unknown    *configlog.UnknownError
	)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		return ExitOK
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &notInForce):
		return ExitNotInForce
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &usage), errors.As(err, &faults), errors.As(err, &invalid):
		return ExitInvalid
	default:
		return ExitFailed
	}
}

// InvalidError says that something on the command line or in the settings
// cannot be used.
type InvalidError struct {
	What    string
	Problem string
}

// Error names it and the problem.
func (e *InvalidError) Error() string { return e.What + ": " + e.Problem }

// ConflictError says that publications lost to others. The command has printed
// how they differ.
type ConflictError struct{ Subjects []configlog.Subject }

// Error names them and says what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: another publication was accepted first; "+
		"compare with the diff above, then publish again", names(e.Subjects))
}

// NotInForceError says that a publication was accepted and is not in force on
// all live nodes. The command has named them.
type NotInForceError struct {
	InForce int
	Live    int
}

// Error counts the nodes and says what to do.
func (e *NotInForceError) Error() string {
	if e.Live == 0 {
		return "accepted, but no daemon could be asked whether it is in force; check the Daemons of the settings"
	}
	return fmt.Sprintf("accepted, but in force on %d of %d live nodes only; "+
		"look at the nodes named above, the revision reaches them as soon as they hear the log or a peer", e.InForce, e.Live)
}

// NotFoundError says that nothing of a name exists.
type NotFoundError struct {
	What string
	Name string
}

// Error names it and says what to do.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no %s %s; the list command shows what there is", e.What, e.Name)
}

// SilentError says that no daemon answered.
type SilentError struct{ Reasons []string }

// Error lists the daemons' reasons.
func (e *SilentError) Error() string {
	if len(e.Reasons) == 0 {
		return "no daemon is known; name one with --daemon or in the settings"
	}
	out := "no daemon answered:"
	for _, r := range e.Reasons {
		out += "\n  " + r
	}
	return out
}

func names(subjects []configlog.Subject) string {
	out := ""
	for i, s := range subjects {
		if i > 0 {
			out += ", "
		}
		out += title(s.Kind) + " " + s.Name
	}
	return out
}

// title is a kind as it stands in a sentence.
func title(k configlog.Kind) string {
	if k == configlog.Pool {
		return "pool"
	}
	return "profile"
}
