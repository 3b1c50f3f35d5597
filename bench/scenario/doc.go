// Package scenario describes the loads and faults under which placement
// policies are compared: engines, profiles, customers, arrivals and faults,
// each as plain data. A scenario's load is a multiple of the capacity that is
// computed from its engines' settings, never of a measured one.
package scenario
