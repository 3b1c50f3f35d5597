// Package profile parses and validates profiles and pools as operators write them:
// YAML with the field names of core.Profile and core.Pool. The command line, the
// daemon and the readers of the log share it, so that none of them rejects a profile
// that another accepts.
package profile
