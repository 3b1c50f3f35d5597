// Package experiment runs scenarios under placement policies and computes
// results from what the callers observed.
package experiment
