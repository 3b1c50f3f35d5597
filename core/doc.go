// Package core makes all decisions of a daisyshed node: membership, ownership,
// configuration, placement, admission, releases and calls that may run at most once. It
// does no input or output. A runtime passes each event to [Node.Update] together with the
// time and carries out the returned commands, so a daemon, a randomised test and a load
// tool can all drive the same code.
package core
