// Package world drives the real core of several nodes against the stand-ins'
// own cores on virtual time. It is an event queue: it hands commands to
// whoever carries them out and their results back, with delays and faults that
// are settings. It models no machines and no network beyond that.
package world
