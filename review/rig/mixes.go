package main

import (
	"strings"
	"sync"
)

// mixes holds the events that clients got, by attempt.
type mixes struct {
	mu        sync.Mutex
	byAttempt map[string][]string
}

func (m *mixes) add(attempt, event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byAttempt[attempt] = append(m.byAttempt[attempt], event)
}

// judge reports whether more than two streams hold events of two versions.
func (m *mixes) judge(g *rig) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mixed, whole := 0, 0
	for attempt, events := range m.byAttempt {
		versions, first, count := "", "", map[string]int{}
		for _, e := range events {
			_, version, _ := strings.Cut(e, " ")
			if first == "" {
				first = version
			}
			if count[version] == 0 {
				versions += " " + version
			}
			count[version]++
		}
		if len(events) == streamEvents {
			whole++
		}
		if len(count) > 1 {
			mixed++
			g.note("MIXED VERSIONS (ORDER): %s got %d events, of%s, the first %d of %s", attempt, len(events), versions, count[first], first)
		}
	}
	g.note("%d streams had events, %d all of them; %d hold events of two versions (more than 2 break ORDER)", len(m.byAttempt), whole, mixed)
	return mixed > 2
}
