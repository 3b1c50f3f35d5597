// Package world runs the cores of several nodes against the cores of the
// stand-ins in virtual time. It is an event queue: it passes the commands of a
// core to the component that executes them and returns the results, with
// configured delays and injected faults. It models no VMs and no network beyond
// that.
package world
