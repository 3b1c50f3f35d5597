// Package core holds every decision that a daisyshed node takes: membership,
// ownership, configuration, placement, admission, releases and once-only
// calls. It does no input or output. A runtime passes each event to
// [Node.Update] together with the time, and carries out the commands that
// come back, so a daemon, a randomised test and a load tool can all drive the
// same code.
package core
