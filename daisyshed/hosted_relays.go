package main

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/operator"
	"daisyshed.dev/daisyshed/peer"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
)

const (
	// relayIdleTimeout is the idle timeout of a connection that a node relays.
	relayIdleTimeout = 5 * time.Minute
	// relayMemoryShare is the fraction of the process's memory limit for the buffers of relayed
	// connections: once for those of this node, and once for those that it relays.
	// relayFileShare is the fraction of its file descriptors for them.
	relayMemoryShare = 0.2
	relayFileShare   = 0.2
	// relayBuffer is the most that one relayed connection buffers, in bytes: the receive
	// window of its stream, and the buffers between the stream and the upstream.
	relayBuffer = 256<<10 + 64<<10
	// minRelayed is the least limit on relayed connections.
	minRelayed = 8
	// relayEndInterval is how often an exiting node checks whether the connections that it
	// relays have ended.
	relayEndInterval = 20 * time.Millisecond
)

// maxRelayed returns how many connections may go through other nodes, and how many
// this node relays.
func (h *hosted) maxRelayed() int {
	memory := relayMemoryShare * float64(h.settings.MemoryBytes) / relayBuffer
	return max(minRelayed, int(min(memory, relayFileShare*float64(h.settings.MaxFiles))))
}

// UseRelays sets the nodes through which connections to upstreams are opened.
func (h hostedRuntime) UseRelays(c core.UseRelays) {
	nodes := make([]string, 0, len(c.Relays))
	for _, r := range c.Relays {
		nodes = append(nodes, string(r.Node))
	}
	h.log.Info().Str("Event", "RelaysSet").Strs("Relays", nodes).Bool("First", c.First).Send()
	h.upstreams.UseRelays(c)
}

// ProbeUpstream opens a connection to an upstream and closes it.
func (h hostedRuntime) ProbeUpstream(c core.ProbeUpstream) { h.upstreams.Probe(c) }

// OpenRelay opens a connection to an upstream for another node.
func (h hostedRuntime) OpenRelay(c core.OpenRelay) { h.peers.OpenRelay(c) }

// RejectRelay rejects to open a connection to an upstream for another node.
func (h hostedRuntime) RejectRelay(c core.RejectRelay) { h.peers.RejectRelay(c) }

// endRelayed waits until the connections that this node relays have ended, or until ctx does.
// The other nodes learn from the cluster that this one leaves.
func (h *hosted) endRelayed(ctx context.Context) {
	t := time.NewTicker(relayEndInterval)
	defer t.Stop()
	for h.peers.Relaying() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			h.log.Warn().Str("Event", "UnfinishedRelays").Int("Connections", h.peers.Relaying()).Send()
			return
		}
	}
}

// dialUpstream opens a connection to an upstream for another node.
func (h *hosted) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, LocalAddr: h.source}
	return d.DialContext(ctx, "tcp", address)
}

// relayMeter logs and counts relayed connections. Rejections are logged when the reason
// differs from the last one by or for that node.
type relayMeter struct {
	*operator.Metrics
	log zerolog.Logger

	mu       sync.Mutex
	rejected map[rejectedBy]core.RelayRejection
}

// rejectedBy is the other node of a rejected connection, and this node's role.
type rejectedBy struct {
	role peer.RelayRole
	node core.NodeID
}

// RelaySession implements peer.RelayMeter.
func (m *relayMeter) RelaySession(role peer.RelayRole, node core.NodeID, end error) {
	var silent *peer.SilentError
	event := "RelayEnded"
	switch {
	case end == nil:
		event = "RelayBegun"
	case errors.As(end, &silent):
		event = "RelaySilent"
	}
	if errors.Is(end, yamux.ErrSessionShutdown) {
		end = nil
	}
	m.log.Info().Str("Event", event).Str("Role", role.String()).Str("Peer", string(node)).Err(end).Send()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rejected, rejectedBy{role: role, node: node})
}

// RelayedRejected implements peer.RelayMeter.
func (m *relayMeter) RelayedRejected(role peer.RelayRole, node core.NodeID, reason core.RelayRejection) {
	m.Metrics.RelayedRejected(role, reason)
	m.mu.Lock()
	defer m.mu.Unlock()
	by := rejectedBy{role: role, node: node}
	if last, ok := m.rejected[by]; ok && last == reason {
		return
	}
	if m.rejected == nil {
		m.rejected = map[rejectedBy]core.RelayRejection{}
	}
	m.rejected[by] = reason
	m.log.Info().Str("Event", "RelayRejected").Str("Role", role.String()).Str("Peer", string(node)).Str("Reason", reason.String()).Send()
}
