package operator

import (
	"strings"
	"sync"

	"daisyshed.dev/core"
)

// Decisions keeps the latest decisions, for those who ask why.
type Decisions struct {
	mu   sync.Mutex
	ring []core.Decision
	next int
	size int
}

// NewDecisions returns a Decisions that keeps size decisions.
func NewDecisions(size int) *Decisions { return &Decisions{size: size} }

// Add keeps a decision in place of the oldest.
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

// Of returns the decisions on a request, oldest first, or all if the name is
// empty. A request goes by its whole id or by the caller's X-Request-Id.
func (d *Decisions) Of(name string) []core.Decision {
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

func matches(id, name string) bool {
	return name == "" || id == name || strings.HasPrefix(id, name+"~")
}
