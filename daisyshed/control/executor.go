package control

import "daisyshed.dev/core"

// Executor hands commands to those who carry them out. None of its fields'
// methods may block.
type Executor struct {
	Callers   Callers
	Engines   Engines
	Services  Services
	Peers     Peers
	Log       Log
	VMs       VMs
	Operators Operators
	Forwards  Forwards
	Host      Host
}

// Host is what a hosted node asks of its runtime.
type Host interface {
	// Claim asks the platform's store for the right to give orders.
	Claim(c core.ClaimOrders)
	// Adopt decodes a desired state that came from a peer.
	Adopt(c core.AdoptState)
	// ReadInstances reads the upstreams' entries from the store.
	ReadInstances(c core.ReadInstances)
	// Ready makes the node count as ready.
	Ready()
	// CloseCallers ends the taking of callers' connections.
	CloseCallers()
}

// Forwards carries out the steps of opaque requests.
type Forwards interface {
	Do(c core.ForwardCommand)
	Order(address string, c core.SendOrder)
}

// Callers ends callers' requests.
type Callers interface {
	Refuse(c core.RefuseCaller)
	AnswerCall(c core.AnswerCall)
	AnswerAddresses(c core.AnswerAddresses)
}

// Engines carries out steps at engines. An empty address means that the
// engine's address is not known.
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
	Post(to core.NodeID, address string, body core.PeerBody)
}

// Log appends to and reads the platform's log.
type Log interface {
	Append(c core.AppendLog)
	Read(c core.ReadLog)
}

// VMs reads the platform's VM list.
type VMs interface {
	Read()
}

// Operators shows operators what the node does.
type Operators interface {
	AnswerStatus(c core.AnswerStatus)
	LogDecision(d core.Decision)
	LogViolation(v core.Violation)
}

func (e Executor) carryOut(n *core.Node, c core.Command) {
	switch c := c.(type) {
	case core.ForwardCommand:
		e.Forwards.Do(c)
	case core.SendPeer:
		e.send(n, c)
	case core.RefuseCaller:
		e.Callers.Refuse(c)
	case core.AnswerCall:
		e.Callers.AnswerCall(c)
	case core.AnswerAddresses:
		e.Callers.AnswerAddresses(c)
	case core.AnswerStatus:
		e.Operators.AnswerStatus(c)
	case core.LogDecision:
		e.Operators.LogDecision(c.Decision)
	case core.LogViolation:
		e.Operators.LogViolation(c.Violation)
	case core.AppendLog:
		e.Log.Append(c)
	case core.ReadLog:
		e.Log.Read(c)
	case core.ClaimOrders:
		e.Host.Claim(c)
	case core.AdoptState:
		e.Host.Adopt(c)
	case core.ReadInstances:
		e.Host.ReadInstances(c)
	case core.NodeReady:
		e.Host.Ready()
	case core.CloseCallers:
		e.Host.CloseCallers()
	case core.ReadVMList:
		e.VMs.Read()
	default:
		e.atUpstream(n, c)
	}
}

func (e Executor) send(n *core.Node, c core.SendPeer) {
	if address, ok := n.PeerAddress(c.To); ok {
		e.Peers.Post(c.To, address, c.Body)
	}
}

// atUpstream carries out a command at an engine or plain service.
func (e Executor) atUpstream(n *core.Node, c core.Command) {
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
			e.Forwards.Order(n.InstanceAddress(c.Order.Engine), c)
			return
		}
		e.Engines.Order(address(c.Order.Engine), c)
	case core.CallService:
		e.Services.Call(address(c.Engine), c)
	}
}
