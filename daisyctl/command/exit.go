package command

import (
	"errors"
	"fmt"

	"daisyshed.dev/daisyctl/configlog"
	"daisyshed.dev/wire/settings"
	"github.com/jessevdk/go-flags"
)

// Exit codes of daisyctl; exitHelp explains them.
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
		unknown    *configlog.UnknownOutcomeError
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

// InvalidError reports an invalid command line, settings file or document.
type InvalidError struct {
	What    string
	Problem string
}

// Error returns what is invalid and why.
func (e *InvalidError) Error() string { return e.What + ": " + e.Problem }

// ConflictError reports that publications were rejected because others were
// accepted first. The command has already printed the differences.
type ConflictError struct{ Subjects []configlog.Subject }

// Error returns the profiles and pools in conflict and what to do.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict on %s: another publication was accepted first; "+
		"compare with the diff above, then publish again", joinSubjects(e.Subjects))
}

// NotInForceError reports that a publication was accepted but is not in force on
// all live nodes. The command has already printed the nodes where it is missing.
type NotInForceError struct {
	InForce int
	Live    int
}

// Error returns the node counts and what to do.
func (e *NotInForceError) Error() string {
	if e.Live == 0 {
		return "accepted, but no daemon answered whether it is in force; check Daemons in the settings"
	}
	return fmt.Sprintf("accepted, but in force on only %d of %d live nodes; "+
		"check the nodes named above: each applies the revision once it reads the log or receives it from a peer", e.InForce, e.Live)
}

// NotFoundError reports that no object of a kind has the given name.
type NotFoundError struct {
	What string
	Name string
}

// Error returns the kind, the name and what to do.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("there is no %s %s; the list command shows what there is", e.What, e.Name)
}

// NoAnswerError reports that no daemon answered, or that none is configured.
type NoAnswerError struct{ Reasons []string }

// Error returns the reason for each daemon.
func (e *NoAnswerError) Error() string {
	if len(e.Reasons) == 0 {
		return "no daemon is configured; name one with --daemon or in the settings"
	}
	out := "no daemon answered:"
	for _, r := range e.Reasons {
		out += "\n  " + r
	}
	return out
}

func joinSubjects(subjects []configlog.Subject) string {
	out := ""
	for i, s := range subjects {
		if i > 0 {
			out += ", "
		}
		out += kindName(s.Kind) + " " + s.Name
	}
	return out
}

// kindName returns a kind in lower case, as used in messages.
func kindName(k configlog.Kind) string {
	if k == configlog.Pool {
		return "pool"
	}
	return "profile"
}
