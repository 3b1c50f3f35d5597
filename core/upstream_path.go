package core

// ConnectOutcome is how an attempt to connect to an upstream ended.
type ConnectOutcome int

// The outcomes of an attempt to connect.
const (
	// Connected means that the connection is open. That does not show that the upstream answers.
	Connected ConnectOutcome = iota
	// Answered means that the upstream has answered on it.
	Answered
	// ConnectFailed means that it did not open, as when it is refused.
	ConnectFailed
	// ConnectTimedOut means that there was no answer in time.
	ConnectTimedOut
	// Unanswered means that it was open and carried nothing until the timeout of a probe.
	Unanswered
	// ConnectBroken means that it was open and was reset.
	ConnectBroken
	// RelayRejected means that the relay is isolated or leaving, and accepts no connection.
	RelayRejected
	// RelayDeclined means that the relay does not list the upstream as usable, or relays as many
	// connections as it may. That says nothing of connections to other upstreams, or later.
	RelayDeclined
	// RelayFailed means that the relay could not connect to the upstream.
	RelayFailed
	// RelayUnanswered means that the relay did not answer in time.
	RelayUnanswered
)

// ConnectionObserved reports how an attempt to connect to an upstream ended. Relay is the
// node through which it was made; empty for a direct one.
type ConnectionObserved struct {
	Engine  EngineID
	Relay   NodeID
	Outcome ConnectOutcome
}

// ProbeUpstream opens a connection to an upstream, closes this node's side of it and waits for the
// upstream to close the other one. Relay is the node through which it is opened; its zero value
// asks for a direct one. The outcome is reported with a ConnectionObserved.
type ProbeUpstream struct {
	Engine  EngineID
	Address string
	Relay   Relay
}

func (ConnectionObserved) isMessage() {}
func (ProbeUpstream) isCommand()      {}
