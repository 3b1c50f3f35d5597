// Package experiment runs scenarios under placement policies and turns what
// callers saw into results.
package experiment
