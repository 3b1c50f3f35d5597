package operator

import (
	"sync/atomic"

	"daisyshed.dev/core"
	"daisyshed.dev/daisyshed/peer"
	"github.com/uber-go/tally/v4"
)

// relayMetrics are the metrics of the connections to upstreams that go through other nodes, by
// this node's role in them.
type relayMetrics [peer.Relaying + 1]struct {
	open                           atomic.Int64
	opened, failed, sent, received tally.Counter
}

// register creates the metrics.
func (r *relayMetrics) register(scope tally.Scope) {
	for role := range r {
		s := roleScope(scope, peer.RelayRole(role))
		r[role].opened = s.Counter("relayed_connections_opened_total")
		r[role].failed = s.Counter("relayed_connections_failed_total")
		r[role].sent = s.Counter("relayed_sent_bytes_total")
		r[role].received = s.Counter("relayed_received_bytes_total")
	}
}

// setGauges sets the gauges.
func (r *relayMetrics) setGauges(scope tally.Scope) {
	for role := range r {
		roleScope(scope, peer.RelayRole(role)).Gauge("relayed_connections").Update(float64(r[role].open.Load()))
	}
}

func roleScope(scope tally.Scope, role peer.RelayRole) tally.Scope {
	return scope.Tagged(map[string]string{"role": role.String()})
}

// RelayedOpened counts a relayed connection that was opened.
func (m *Metrics) RelayedOpened(role peer.RelayRole) {
	m.relays[role].open.Add(1)
	m.relays[role].opened.Inc(1)
}

// RelayedClosed counts a relayed connection that was closed.
func (m *Metrics) RelayedClosed(role peer.RelayRole) { m.relays[role].open.Add(-1) }

// RelayedFailed counts a relayed connection that could not be opened.
func (m *Metrics) RelayedFailed(role peer.RelayRole) { m.relays[role].failed.Inc(1) }

// RelayedRejected counts a relayed connection that was rejected.
func (m *Metrics) RelayedRejected(role peer.RelayRole, reason core.RelayRejection) {
	roleScope(m.scope, role).Tagged(map[string]string{"reason": reason.String()}).Counter("relayed_connections_rejected_total").Inc(1)
}

// RelayedBytes counts bytes of relayed connections that were sent to and received from
// another node.
func (m *Metrics) RelayedBytes(role peer.RelayRole, sent, received int) {
	m.relays[role].sent.Inc(int64(sent))
	m.relays[role].received.Inc(int64(received))
}
