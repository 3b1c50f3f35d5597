package control

import "daisyshed.dev/core"

// Executor dispatches the core's commands to the components that execute them.
// The methods of its fields run on the control goroutine and must not block.
type Executor struct {
	Callers   Callers
	Engines   Engines
	Services  Services
	Peers     Peers
	Log       Log
	VMs       VMListReader
	Operators Operators
	Forwarder Forwarder
	Runtime   Runtime
}

// Runtime executes the commands of a hosted node that concern the platform's store,
// readiness and shutdown.
type Runtime interface {
	// ClaimOrders requests the exclusive right to send orders to engines from the
	// platform's store.
	ClaimOrders(c core.ClaimOrders)
	// DecodePeerState decodes a desired state that a peer sent and sends it to the
	// core.
	DecodePeerState(c core.DecodePeerState)
	// ReadInstances reads the upstreams' entries from the store.
	ReadInstances(c core.ReadInstances)
	// Ready makes readiness checks succeed.
	Ready()
	// AppendStreams appends to the store which versions began streams. It does not block.
	AppendStreams(c core.AppendStreams)
	// ReadStreams reads from the store which versions began streams. It does not block.
	ReadStreams(c core.ReadStreams)
	// ReadVersions reads the versions of upstreams that are recorded in the store. It does not
	// block.
	ReadVersions()
	// RecordVersion records in the store which versions of upstreams serve. It does not block.
	RecordVersion(c core.RecordVersion)
	// RenewStateRead renews a waiting read of the desired state. It does not block.
	RenewStateRead(c core.RenewStateRead)
	// ObserveAnswers sets whether the core gets a message for each answer of an upstream. It
	// does not block.
	ObserveAnswers(c core.ObserveAnswers)
	// UseRelays sets the nodes through which connections to upstreams are opened. It does not
	// block.
	UseRelays(c core.UseRelays)
	// ProbeUpstream opens a connection to an upstream and closes it. It does not block.
	ProbeUpstream(c core.ProbeUpstream)
	// OpenRelay opens a connection to an upstream for another node, and RejectRelay rejects to.
	// They do not block.
	OpenRelay(c core.OpenRelay)
	RejectRelay(c core.RejectRelay)
	// LimitCallers sets the limits of later requests and of callers' connections. It does not
	// block.
	LimitCallers(c core.LimitCallers)
	// NotReady makes readiness checks fail until the next Ready.
	NotReady()
	// StopAccepting stops accepting callers' connections.
	StopAccepting()
}

// Forwarder forwards callers' opaque requests to the instances of a hosted
// deployment. It serves hosted nodes only.
type Forwarder interface {
	// Execute executes one step of a request.
	Execute(c core.ForwardCommand)
	// SendOrder sends an order to the instance at address.
	SendOrder(address string, c core.SendOrder)
}

// Callers sends responses to callers.
type Callers interface {
	// RejectRequest rejects a request.
	RejectRequest(c core.RejectRequest)
	// AnswerCall sends the response to a plain call.
	AnswerCall(c core.AnswerCall)
	// AnswerAddresses answers a query for nodes' addresses.
	AnswerAddresses(c core.AnswerAddresses)
}

// Engines executes the steps of requests at engines. An empty address means that
// the engine's address is not known.
type Engines interface {
	Prefill(address string, c core.StartPrefill)
	Import(address, from string, c core.StartImport)
	Decode(address string, c core.StartDecode)
	Release(address string, c core.ReleaseMemory)
	Poll(address string, c core.PollEngine)
	Order(address string, c core.SendOrder)
}

// Services sends calls to plain services.
type Services interface {
	Call(address string, c core.CallService)
}

// Peers sends messages to other nodes.
type Peers interface {
	// Enqueue queues body for the node at address.
	Enqueue(to core.NodeID, address string, body core.PeerBody)
}

// Log appends records to the platform's log and reads records from it.
type Log interface {
	Append(c core.AppendLog)
	Read(c core.ReadLog)
}

// VMListReader reads the platform's VM list.
type VMListReader interface {
	Read()
}

// Operators reports the node's status, decisions and invariant violations to
// operators.
type Operators interface {
	DeliverStatus(c core.AnswerStatus)
	LogDecision(d core.Decision)
	LogViolation(v core.Violation)
}

// execute dispatches one command to the component that executes it.
func (e Executor) execute(n *core.Node, c core.Command) {
	switch c := c.(type) {
	case core.ForwardCommand:
		e.Forwarder.Execute(c)
	case core.SendPeer:
		e.sendToPeer(n, c)
	case core.RejectRequest:
		e.Callers.RejectRequest(c)
	case core.AnswerCall:
		e.Callers.AnswerCall(c)
	case core.AnswerAddresses:
		e.Callers.AnswerAddresses(c)
	case core.AnswerStatus:
		e.Operators.DeliverStatus(c)
	case core.LogDecision:
		e.Operators.LogDecision(c.Decision)
	case core.LogViolation:
		e.Operators.LogViolation(c.Violation)
	case core.AppendLog:
		e.Log.Append(c)
	case core.ReadLog:
		e.Log.Read(c)
	case core.ClaimOrders:
		e.Runtime.ClaimOrders(c)
	case core.DecodePeerState:
		e.Runtime.DecodePeerState(c)
	case core.ReadInstances:
		e.Runtime.ReadInstances(c)
	case core.NodeReady:
		e.Runtime.Ready()
	case core.AppendStreams:
		e.Runtime.AppendStreams(c)
	case core.ReadStreams:
		e.Runtime.ReadStreams(c)
	case core.ReadVersions:
		e.Runtime.ReadVersions()
	case core.RecordVersion:
		e.Runtime.RecordVersion(c)
	case core.RenewStateRead:
		e.Runtime.RenewStateRead(c)
	case core.ObserveAnswers:
		e.Runtime.ObserveAnswers(c)
	case core.LimitCallers:
		e.Runtime.LimitCallers(c)
	case core.NodeNotReady:
		e.Runtime.NotReady()
	case core.StopAccepting:
		e.Runtime.StopAccepting()
	case core.ReadVMList:
		e.VMs.Read()
	default:
		e.executeOnPath(n, c)
	}
}

// executeOnPath dispatches a command that concerns the paths to upstreams.
func (e Executor) executeOnPath(n *core.Node, c core.Command) {
	switch c := c.(type) {
	case core.UseRelays:
		e.Runtime.UseRelays(c)
	case core.ProbeUpstream:
		e.Runtime.ProbeUpstream(c)
	case core.OpenRelay:
		e.Runtime.OpenRelay(c)
	case core.RejectRelay:
		e.Runtime.RejectRelay(c)
	default:
		e.executeAtUpstream(n, c)
	}
}

// sendToPeer sends a message to a peer. A message to a node whose address is not
// known is dropped.
func (e Executor) sendToPeer(n *core.Node, c core.SendPeer) {
	if address, ok := n.PeerAddress(c.To); ok {
		e.Peers.Enqueue(c.To, address, c.Body)
	}
}

// executeAtUpstream dispatches a command that an engine or plain service
// executes.
func (e Executor) executeAtUpstream(n *core.Node, c core.Command) {
	address := func(id core.EngineID) string {
		a, _ := n.UpstreamAddress(id)
		return a
	}
	switch c := c.(type) {
	case core.StartPrefill:
		e.Engines.Prefill(address(c.Engine), c)
	case core.StartImport:
		e.Engines.Import(address(c.Engine), address(c.From), c)
	case core.StartDecode:
		e.Engines.Decode(address(c.Engine), c)
	case core.ReleaseMemory:
		e.Engines.Release(address(c.Engine), c)
	case core.PollEngine:
		e.Engines.Poll(address(c.Engine), c)
	case core.SendOrder:
		if n.Hosted {
			e.Forwarder.SendOrder(n.InstanceAddress(c.Order.Engine), c)
			return
		}
		e.Engines.Order(address(c.Order.Engine), c)
	case core.CallService:
		e.Services.Call(address(c.Engine), c)
	}
}
