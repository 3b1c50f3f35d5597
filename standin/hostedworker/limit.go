package hostedworker

import (
	"math/rand/v2"
	"net/http"
	"strconv"
)

// headerLimit is the header in which a worker names its limit.
const headerLimit = "Server-Limit"

const (
	// limitSpread is by how much the limit differs from answer to answer, as a share of it.
	limitSpread = 0.1
	// misspelledShare is the share of answers whose limit is misspelled.
	misspelledShare = 0.1
)

// misspelledLimits are values that name no limit.
var misspelledLimits = []string{"", "NaN", "-1", "1e300", "Inf", "few"}

// limit is the limit that a worker names in its answers: rate requests a second, or none.
type limit struct {
	named bool
	rate  float64
}

// SetLimit makes the worker name a limit of about rate requests a second in its answers. In
// some of them it is misspelled.
func (w *Worker) SetLimit(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit{named: true, rate: rate}
}

// EndLimit ends the limit.
func (w *Worker) EndLimit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit{}
}

// nameLimit sets the header of the limit in an answer.
func (w *Worker) nameLimit(h http.Header) {
	w.mu.Lock()
	l := w.limit
	w.mu.Unlock()
	switch {
	case !l.named:
	case rand.Float64() < misspelledShare:
		h.Set(headerLimit, misspelledLimits[rand.IntN(len(misspelledLimits))])
	default:
		h.Set(headerLimit, strconv.FormatFloat(l.rate*(1-limitSpread*rand.Float64()), 'f', 3, 64))
	}
}
