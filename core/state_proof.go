package core

import (
	"math/rand/v2"
	"time"
)

const (
	// proofCheckFraction is the period, as a fraction of StateDelay, at which a node checks
	// how old its proof is, and overdueProofFraction the age at which it counts as overdue.
	proofCheckFraction   = 0.05
	overdueProofFraction = 1
	// minRenewFraction and maxRenewFraction bound the age at which a node renews its read of
	// the store. Each node draws its own, so that most nodes receive the proof of the first
	// one that reads before they read too.
	minRenewFraction = 0.55
	maxRenewFraction = 0.75
	// readerRenewFraction is the same for the first of the readers of the upstreams, which sends
	// its proof to all nodes with the changes that it reads.
	readerRenewFraction = 0.2
	// renewRetryFraction bounds the time between two renewals, as a fraction of StateDelay: the
	// renewed read may hang as well.
	renewRetryFraction = 0.5
	// proofStream is the stream of random numbers that stateProof draws from.
	proofStream = 1<<32 + 1
)

// StateProof says that no version of the desired state later than the sender's existed Age
// before the message was sent. Proofs are numbered, so that one that was passed on many times
// is not taken for a new one. A Number of zero stands for none.
type StateProof struct {
	Number uint64
	Age    time.Duration
}

// StateConfirmed reports that the store has answered a read of the desired state, after all
// versions in the answer were sent to the core. The answer was Age old at most.
type StateConfirmed struct{ Age time.Duration }

func (StateConfirmed) isMessage() {}

// stateProof is this node's latest proof that its desired state is the latest one. Proofs come
// from reads of the store, and spread with heartbeats.
type stateProof struct {
	number uint64
	rng    *rand.Rand
	// renewFraction is the age, as a fraction of StateDelay, at which this node next renews
	// its read. renewedAt is when it last did.
	renewFraction float64
	renewedAt     Instant
	// at is the instant to which the proof applies; zero without one.
	at Instant
	// overdue is set while the proof is overdue, since overdueAt.
	overdue   bool
	overdueAt Instant
	// unanswered is set after a pause of this process until a peer has answered a heartbeat sent
	// since, that is one after sentBefore: messages that waited meanwhile are older than they say.
	unanswered bool
	sentBefore uint64
}

func (p *stateProof) start(n *Node) {
	p.rng = rand.New(rand.NewPCG(n.Seed, proofStream))
	p.drawRenewal()
	p.scheduleCheck(n)
}

func (p *stateProof) drawRenewal() {
	p.renewFraction = minRenewFraction + p.rng.Float64()*(maxRenewFraction-minRenewFraction)
}

// scheduleCheck schedules the next check. It sets a new timer each time because StateDelay may
// change.
func (p *stateProof) scheduleCheck(n *Node) {
	n.afterFunc(fractionOf(n.Settings.StateDelay, proofCheckFraction), func(n *Node) {
		p.check(n)
		p.scheduleCheck(n)
	})
}

// message returns the proof for other nodes.
func (p *stateProof) message(n *Node) StateProof {
	if p.number == 0 {
		return StateProof{}
	}
	return StateProof{Number: p.number, Age: n.now.Sub(p.at)}
}

// confirm handles an answer of the store.
func (p *stateProof) confirm(n *Node, age time.Duration) {
	if !n.forward.stateKnown {
		return
	}
	asOf := n.now.Add(-age)
	n.forward.giveUpLostState(n, asOf)
	if n.forward.lag.behind() {
		return
	}
	p.number++
	p.renew(n, asOf)
}

// adopt handles the proof of a peer whose state has the given version. It also holds for a
// later version, but not for an earlier one.
func (p *stateProof) adopt(n *Node, version int64, m StateProof) {
	known := n.forward.stateKnown && version > 0 && version <= n.forward.state.Version
	if !known || p.unanswered || n.forward.lag.behind() || m.Number <= p.number || m.Age < 0 {
		return
	}
	p.number = m.Number
	p.renew(n, n.now.Add(-m.Age))
}

// paused records a pause of this process, where sequence is that of the last heartbeat before it.
func (p *stateProof) paused(sequence uint64) { p.unanswered, p.sentBefore = true, sequence }

// handleAck records the answer of a peer to a heartbeat.
func (p *stateProof) handleAck(sequence uint64) {
	p.unanswered = p.unanswered && sequence <= p.sentBefore
}

// renew sets the instant to which the proof applies, which never moves back.
func (p *stateProof) renew(n *Node, at Instant) {
	if at > p.at {
		p.at = at
		p.drawRenewal()
	}
	if p.overdue && !p.olderThan(n, overdueProofFraction) {
		p.overdue = false
		n.do(LogDecision{Decision: Decision{
			At: n.now, Node: n.Self.ID, Step: "confirmed", Version: n.forward.state.Version, Waited: n.now.Sub(p.overdueAt),
		}})
	}
}

// olderThan reports whether the proof is older than a fraction of StateDelay.
func (p *stateProof) olderThan(n *Node, fraction float64) bool {
	return n.now.Sub(p.at) > fractionOf(n.Settings.StateDelay, fraction)
}

// renewalDue reports whether the read of the store is to be renewed.
func (p *stateProof) renewalDue(n *Node) bool {
	fraction := p.renewFraction
	if p.olderThan(n, readerRenewFraction) && n.readerRank() == 0 {
		fraction = readerRenewFraction
	}
	renewed := p.renewedAt != 0 && n.now.Sub(p.renewedAt) < fractionOf(n.Settings.StateDelay, min(fraction, renewRetryFraction))
	return p.olderThan(n, fraction) && !renewed
}

// check renews the read of the store when the proof is old, whether or not peers send anything,
// and logs when the proof becomes overdue.
func (p *stateProof) check(n *Node) {
	if !n.forward.stateKnown {
		return
	}
	n.members.pollIfDue(n)
	n.forward.updateReady(n)
	if p.renewalDue(n) {
		p.renewedAt = n.now
		n.do(RenewStateRead{Latest: n.forward.lag.behind()})
	}
	if p.overdue || !p.olderThan(n, overdueProofFraction) {
		return
	}
	p.overdue, p.overdueAt = true, n.now
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: "unconfirmed", Version: n.forward.state.Version, Waited: n.now.Sub(p.at),
	}})
}
