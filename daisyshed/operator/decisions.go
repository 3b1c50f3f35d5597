package operator

import (
	"strings"
	"sync"

	"daisyshed.dev/core"
)

// Decisions keeps the latest decisions in memory, so that operators can look up
// why a request was handled as it was.
type Decisions struct {
	mu sync.Mutex
	// ring holds up to size decisions. Once it is full, next is the index of the
	// oldest.
	ring []core.Decision
	next int
	size int
}

// NewDecisions returns a Decisions that keeps the latest size decisions.
func NewDecisions(size int) *Decisions { return &Decisions{size: size} }

// Add adds a decision, in place of the oldest one if the limit is reached.
func (d *Decisions) Add(decision core.Decision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ring) < d.size {
		d.ring = append(d.ring, decision)
		return
	}
	d.ring[d.next] = decision
	d.next = (d.next + 1) % d.size
}

// ForRequest returns the decisions on a request, oldest first, or all decisions if
// name is empty. name is either the request's full id or the caller's X-Request-Id.
func (d *Decisions) ForRequest(name string) []core.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []core.Decision{}
	for i := range d.ring {
		decision := d.ring[(d.next+i)%len(d.ring)]
		if matches(string(decision.Request), name) {
			out = append(out, decision)
		}
	}
	return out
}

// matches reports whether a request id is selected by name. The full id consists of
// the caller's X-Request-Id, "~" and a suffix.
func matches(id, name string) bool {
	return name == "" || id == name || strings.HasPrefix(id, name+"~")
}
