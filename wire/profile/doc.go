// Package profile is the one reader and checker of profiles and pools as
// operators write them: YAML with the field names of core.Profile and
// core.Pool. The command line, the daemon and the log's readers share it, so
// that a profile which one accepts is never refused by another.
package profile
