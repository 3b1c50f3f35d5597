// Package statecheck finds mistakes in a desired state before it is sent, and what differs between two
// desired states. It takes and returns plain values. Sentences name neither keys nor digests, nor the
// fields of the platform: a Place names the field, and package platform translates it.
package statecheck
