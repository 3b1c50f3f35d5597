package core

import "time"

// earlyRun is for how long after its first event a run counts as beginning to write. A part of
// a prompt that ends engines does so in a fraction of that.
const earlyRun = 500 * time.Millisecond

// brokeAtStart reports whether the upstream broke a run off while it began to write its
// answer, as when its prompt ends the engine.
func (f *forwardedRequest) brokeAtStart(now Instant, m StepFailed) bool {
	if m.Step != RunStep || !m.BrokenOff || m.Send != f.current || len(f.parts()) == 0 {
		return false
	}
	return f.phase == forwardRunning || f.phase == forwardResponding && now.Sub(f.startedAt) < earlyRun
}

// brokeOff reports whether an upstream ended the connection of a request's run before it
// answered, as when the request ends the upstream, and when the run was sent.
func (f *forwardedRequest) brokeOff(now Instant, m StepFailed) (sent Instant, ok bool) {
	if f.Key == "" || m.Step != RunStep || !m.BrokenOff || m.Status != 0 {
		return 0, false
	}
	if f.phase == forwardResponding && m.Send == f.current && now.Sub(f.startedAt) >= earlyRun {
		return 0, false
	}
	return f.sentAt(m.Send), m.Send == f.current || f.silent != nil && f.silent.send == m.Send
}

// suspects returns what in the request may end upstreams.
func (f *forwardedRequest) suspects() []CrashSuspect { return suspectsOf(f.spec.ID, f.parts(), f.Key) }

// parts returns the parts of the request's prompt that other requests may share.
func (f *forwardedRequest) parts() []PromptPart {
	g, _ := f.Generation.Get()
	return g.Parts
}

// joinParts returns parts as a list for the log.
func joinParts(parts []PromptPart) string {
	text := ""
	for i, p := range parts {
		if i > 0 {
			text += ","
		}
		text += string(p)
	}
	return text
}
