package core

import "time"

const (
	// decodePrefillSlowdown is how much longer a decode engine takes to prefill a prompt
	// than a prefill engine: it does so in small chunks between the tokens of others.
	decodePrefillSlowdown = 2.0
	// decodePrefillShare is the share of a decode engine's time that may go to prefills.
	// The streams on it are slowed by as much.
	decodePrefillShare = 0.2
	// decodePrefillPause is the share of the longest pause between events of a stream
	// that the prefill of another prompt on its engine may take. The rest is for the
	// tokens of the event, and for engines that are slower than others.
	decodePrefillPause = 0.6
)

// mayPrefillAtDecode reports whether a decode engine may prefill a job's prompt itself.
//
// Load pattern: a crest of a few seconds that begins while decode memory is free. Prefill
// engines are as many as the mean load needs, so that they, and not the memory, bound how
// many requests of the crest are placed in time. Decode engines with free memory then
// prefill short prompts themselves, each seldom enough that its streams go on in time.
func (d *dispatcher) mayPrefillAtDecode(n *Node, j *dispatchJob, u *upstream) bool {
	took, measured := d.decodePrefillTime(n, j)
	return n.uses(DecodePrefill) && measured && d.allocationOf(u).prefillUntil <= n.now &&
		took <= fractionOf(j.maxPause, decodePrefillPause)
}

// decodePrefillTime returns how long a decode engine takes for a job's prompt, and false
// if that was not measured yet.
func (d *dispatcher) decodePrefillTime(n *Node, j *dispatchJob) (time.Duration, bool) {
	took, measured := n.roles.costsOf(j.group).backlogTime(j.prompt)
	return fractionOf(took, decodePrefillSlowdown), measured
}

// prefillAtDecode records that a decode engine prefills a job's prompt itself. The next
// prompt has to wait until prefills are a small enough share of the engine's time.
func (d *dispatcher) prefillAtDecode(n *Node, j *dispatchJob, u *upstream) {
	took, _ := d.decodePrefillTime(n, j)
	d.allocationOf(u).prefillUntil = n.now.Add(fractionOf(took, 1/decodePrefillShare))
	j.prefillAtDecode = true
}
