package core

import (
	"fmt"
	"slices"
	"time"
)

const (
	// maxHeldCrashes bounds the ends of upstreams that are held back, and heldCrashFor for how long.
	maxHeldCrashes = 256
	heldCrashFor   = 10 * time.Second
)

// heldCrash is the end of a connection to an upstream, when it was seen, and when the upstream was
// probed for it last; zero if it was not. reached says that it was reached then, so that the list
// alone shows whether it has started again.
type heldCrash struct {
	CrashReport
	at, probedAt Instant
	reached      bool
}

// holdCrash holds the end of an upstream back while it may be that of this node's own path only.
// Once the path works, the upstream is probed. The end is reported if it cannot be reached then.
func (s *forwards) holdCrash(n *Node, report CrashReport) {
	held := &n.isolation.held
	if len(*held) >= maxHeldCrashes {
		n.logHeld("crash-dropped", report)
		return
	}
	*held = append(*held, heldCrash{CrashReport: report, at: n.now})
	n.logHeld("crash-held", report)
	s.checkHeld(n)
}

func (n *Node) logHeld(step string, report CrashReport) {
	n.do(LogDecision{Decision: Decision{
		At: n.now, Node: n.Self.ID, Step: step, Reason: UpstreamFailed, Profile: ProfileID(report.Service), Decode: report.Crash.Engine,
		Detail: fmt.Sprintf("%s, parts %s", CrashSuspect{Request: report.Request}, joinParts(report.Parts)),
	}})
}

// checkHeld checks the ends that are held back until there are none.
func (s *forwards) checkHeld(n *Node) {
	if n.isolation.checksHeld || len(n.isolation.held) == 0 {
		return
	}
	n.isolation.checksHeld = true
	n.afterFunc(probeTimeout, func(n *Node) {
		n.isolation.checksHeld = false
		s.dropHeld(n, func(h heldCrash) bool { return n.now.Sub(h.at) > heldCrashFor })
		s.verifyHeld(n)
		s.checkHeld(n)
	})
}

// verifyHeld probes the upstreams of ends that are held back, if this node's path works. Those that
// have left the list or have started again have ended.
func (s *forwards) verifyHeld(n *Node) {
	if n.isolation.doubtful(n) {
		return
	}
	s.reportHeld(n, func(h heldCrash) bool {
		u, ok := s.upstreams.byID[h.Crash.Engine]
		return !ok || u.Born != h.Crash.Born
	})
	probed := Set[EngineID]{}
	for i := range n.isolation.held {
		h := &n.isolation.held[i]
		switch id := h.Crash.Engine; {
		case h.reached || h.probedAt != 0 && n.now.Sub(h.probedAt) < probeEvery:
			continue
		case probed.Has(id):
		case len(probed) >= maxProbes:
			continue
		default:
			probed.Add(id)
			n.do(ProbeUpstream{Engine: id, Address: s.upstreams.byID[id].Address})
		}
		h.probedAt = n.now
	}
}

// settleHeld handles a direct connection to an upstream. One that could not be reached after this
// node's path worked has ended; one that was reached soon has not. One that is reached later may have
// restarted before the list of upstreams shows it.
func (s *forwards) settleHeld(n *Node, id EngineID, failed bool) {
	if failed {
		s.reportHeld(n, func(h heldCrash) bool { return h.Crash.Engine == id && h.probedAt != 0 && !h.reached })
		return
	}
	s.dropHeld(n, func(h heldCrash) bool {
		u, ok := s.upstreams.byID[id]
		return h.Crash.Engine == id && ok && u.Born == h.Crash.Born && n.now.Sub(h.at) < minRestart
	})
	for i := range n.isolation.held {
		h := &n.isolation.held[i]
		h.reached = h.reached || h.Crash.Engine == id
	}
	s.verifyHeld(n)
}

func (s *forwards) reportHeld(n *Node, ended func(heldCrash) bool) {
	for _, h := range n.isolation.takeHeld(ended) {
		s.reportCrash(n, "", h.CrashReport)
	}
}

func (s *forwards) dropHeld(n *Node, which func(heldCrash) bool) {
	for _, h := range n.isolation.takeHeld(which) {
		n.logHeld("crash-dropped", h.CrashReport)
	}
}

// takeHeld removes some of the ends that are held back, and returns them.
func (s *isolation) takeHeld(which func(heldCrash) bool) []heldCrash {
	if !slices.ContainsFunc(s.held, which) {
		return nil
	}
	var taken, rest []heldCrash
	for _, h := range s.held {
		if which(h) {
			taken = append(taken, h)
		} else {
			rest = append(rest, h)
		}
	}
	s.held = rest
	return taken
}
