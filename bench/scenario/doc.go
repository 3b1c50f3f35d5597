// Package scenario describes the loads and faults under which placement
// policies are compared: engines, profiles, customers, arrivals and faults,
// each as plain data. A scenario's load is stated as a factor of the capacity
// that follows from its engines' settings, never from a measured run.
package scenario
