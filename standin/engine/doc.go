// Package engine simulates the timing and the memory use of a model engine.
// It does no I/O and reads no clock: a runtime passes each message to
// [Engine.Update] together with the current time, executes the commands that
// it returns, and calls it again at the instant that [Engine.NextUpdate] returns.
// The HTTP stand-in, the bench's event queue and the randomised tests all
// drive this model.
package engine
