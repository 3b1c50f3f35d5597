// Package engine models a model engine's time and memory without input or
// output. A runtime passes each event to [Engine.Update] together with the
// time, carries out the commands that come back, and calls again at the
// instant that [Engine.Wake] names. The HTTP stand-in, the bench's event queue
// and randomised tests all drive the same model.
package engine
