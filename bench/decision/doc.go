// Package decision benchmarks the processor time and memory that the core
// spends on placing one request.
package decision
