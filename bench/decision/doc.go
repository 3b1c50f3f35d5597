// Package decision holds benchmarks of the cost of one decision.
package decision
