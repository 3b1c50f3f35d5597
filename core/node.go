package core

import (
	"math/rand/v2"
	"time"
)

// Node makes the decisions of one entry VM. Its exported fields are set before the first
// call of Update and not changed after it. A Node is not safe for concurrent use: one
// goroutine owns it.
type Node struct {
	// Self describes this node.
	Self NodeInfo
	// Incarnation increases with each process start.
	Incarnation Incarnation
	// Seed makes the node's random choices repeatable.
	Seed uint64
	// Settings contains the node's limits and intervals.
	Settings Settings
	// Policy selects how requests are placed; the zero value is used in production.
	Policy Policy
	// Hosted nodes receive the complete desired state and the list of upstreams from the
	// platform's store, and keep no log of their own.
	Hosted bool
	// DisabledMechanisms lists the mechanisms that a hosted node leaves out of its
	// placement, for measurements.
	DisabledMechanisms Set[Mechanism]

	now Instant
	// resumedAt is when the node last resumed after a pause of its process.
	resumedAt Instant
	started   bool
	rng       *rand.Rand
	commands  []Command
	timers    timerHeap
	ticket    Ticket
	leaving   bool
	// shutdownState is the progress of a hosted node's shutdown.
	shutdownState shutdownState

	// releases are the allocations being released, with the delay before the next retry.
	// heldAllocations are those that engines may hold for this node.
	releases        map[releaseKey]time.Duration
	heldAllocations map[releaseKey]struct{}

	members      members
	config       configuration
	serviceCalls serviceCalls
	orders       orders
	entry        entry
	owner        owner
	forward      forwards
	roles        roles
	feed         instanceFeed
	dispatcher   dispatcher
	relays       relays
	isolation    isolation
	relayChoice  relayChoice
	usage        usage
	checks       checks
}

// Update handles one message at the given time and returns the resulting commands. Time
// never goes backwards: an earlier instant counts as the latest one seen.
func (n *Node) Update(now Instant, message Message) []Command {
	n.commands = nil
	if !n.started {
		n.now = now
		n.start()
	}
	n.advanceClock(now)
	n.runTimers()
	n.dispatch(message)
	n.check()
	return n.commands
}

// NextTick returns the instant at which the node next needs a Tick, and false if it
// needs none.
func (n *Node) NextTick() (Instant, bool) { return n.timers.earliest() }

func (n *Node) start() {
	n.started = true
	n.Settings = n.Settings.withDefaults()
	n.rng = rand.New(rand.NewPCG(n.Seed, uint64(n.Incarnation)))
	n.releases = make(map[releaseKey]time.Duration)
	n.heldAllocations = make(map[releaseKey]struct{})
	n.members.start(n)
	n.entry.start(n)
	n.owner.start(n)
	n.forward.start()
	n.relays.start()
	n.relayChoice.start()
	n.isolation.start()
	n.usage.start()
	if n.Hosted {
		n.feed.start(n)
		n.forward.spread.start(n)
		n.forward.proof.start(n)
		n.forward.versions.record.start(n)
		n.forward.startReports(n)
		n.roles.start(n)
		n.dispatcher.start(n)
		return
	}
	n.config.start(n)
	n.serviceCalls.start(n)
	n.orders.start(n)
}

// PeerAddress returns the address at which another node accepts peer connections.
func (n *Node) PeerAddress(id NodeID) (string, bool) { return n.members.peerAddress(id) }

// UpstreamAddress returns the address at which an engine or plain service accepts
// requests.
func (n *Node) UpstreamAddress(id EngineID) (string, bool) { return n.members.upstreamAddress(id) }

// advanceClock advances the node's clock and detects a pause of the process: a step
// longer than PromiseValid.
func (n *Node) advanceClock(now Instant) {
	if now.Sub(n.now) > n.Settings.PromiseValid {
		n.resumedAt = now
		n.forward.proof.paused(n.members.detector.sequence)
	}
	n.now = max(n.now, now)
}

// resumeGrace is how long after a pause of its process a node does not take others for silent: it
// has not read yet what they have sent meanwhile.
const resumeGrace = 200 * time.Millisecond

// justResumed reports whether the process was paused until a moment ago.
func (n *Node) justResumed() bool {
	return n.resumedAt != 0 && n.now.Sub(n.resumedAt) < resumeGrace
}

// do adds a command to those that the current Update returns.
func (n *Node) do(c Command) { n.commands = append(n.commands, c) }

// send sends a message to another node, or passes it to this node itself without using
// the network.
func (n *Node) send(to NodeID, body PeerBody) {
	if to == n.Self.ID {
		n.after(0, PeerMessage{From: to, Incarnation: n.Incarnation, Protocol: LatestProtocol, Body: body})
		return
	}
	n.do(SendPeer{To: to, Body: body})
}

// nextTicket returns a ticket that has not been used before.
func (n *Node) nextTicket() Ticket {
	n.ticket++
	return n.ticket
}

func (n *Node) dispatch(message Message) {
	switch m := message.(type) {
	case Tick:
	case timerMessage:
		m.run(n)
	case CallerRequest:
		n.entry.handleRequest(n, m)
	case CallerDisconnected:
		n.entry.handleCallerDisconnected(n, m)
	case PrefillDone:
		n.entry.handlePrefillDone(n, m)
	case ImportDone:
		n.entry.handleImportDone(n, m)
	case FirstToken:
		n.entry.handleFirstToken(n, m)
	case StreamEnded:
		n.entry.handleStreamEnded(n, m)
	case EngineFailed:
		n.entry.handleEngineFailed(n, m)
	case ReleaseDone:
		n.handleReleaseDone(m)
	case ReleaseFailed:
		n.handleReleaseFailed(m)
	case EngineReport:
		n.owner.handleReport(n, m)
		n.orders.handleReport(n, m)
	case EngineUnreachable:
		n.owner.handleUnreachable(m)
	case ServiceCall:
		n.serviceCalls.handleCall(n, m)
	case ServiceAnswered:
		n.serviceCalls.handleServiceAnswered(n, m)
	case ServiceFailed:
		n.serviceCalls.handleServiceFailed(n, m)
	case LogAppended:
		n.logAppended(m)
	case LogAppendFailed:
		n.logAppendFailed(m)
	case LogRead:
		n.logRead(m)
	case LogReadFailed:
		n.logReadFailed(m)
	case VMList:
		n.handleVMList(m)
	case VMListReadFailed:
	case OrderRequested:
		n.orders.handleOrderRequested(n, m.Order)
	case OrderDone:
		n.orders.handleOrderDone(n, m)
	case OrderFailed:
		n.orders.handleOrderFailed(n, m)
	case AddressQuery:
		n.handleAddressQuery(m)
	case StatusQuery:
		n.do(AnswerStatus{Query: m.Query, Status: n.status()})
	case OrdersClaimed:
		n.roles.handleOrdersClaimed(n, m)
	case OrdersNotClaimed:
		n.roles.handleOrdersNotClaimed(n, m)
	case BoundsChanged:
		n.Settings = m.Apply(n.Settings)
		n.usage.configure(n)
	case DesiredState:
		n.forward.applyDesiredState(n, m)
	case StateTransferBegan:
		n.forward.spread.storeAt, n.forward.spread.receiving = n.now, true
	case StateConfirmed:
		n.forward.proof.confirm(n, m.Age)
	case UpstreamSignal:
		n.forward.upstreams.handleSignal(n, m)
	case VersionsRead:
		n.forward.versions.record.handleRead(n, m)
	case StreamsAppended:
		n.forward.versions.log.handleAppended(n, m)
	case StreamsRead:
		n.forward.handleStreamsRead(n, m)
	case VersionRecorded:
		n.forward.versions.record.handleRecorded(n, m)
	case StoreEraObserved:
		if n.feed.latestEra != 0 && m.Era > n.feed.latestEra {
			n.forward.versions.record.handleRestored()
		}
		n.feed.handleEra(n, m.Era)
		n.roles.handleEra(n, m.Era)
	case InstancesRead:
		n.feed.applyRead(n, m)
	case InstancesReadFailed:
		n.feed.readFailed(n, m)
	case Forward:
		n.forward.handleRequest(n, m)
	case ForwardCallerDisconnected:
		n.forward.handleCallerDisconnected(n, m)
	case LeaseGranted:
		n.forward.handleLeaseGranted(n, m)
	case PrefillFinished:
		n.forward.handlePrefillDone(n, m)
	case StepRefused:
		n.forward.handleStepRefused(n, m)
	case StepFailed:
		n.forward.handleStepFailed(n, m)
	case ConnectionHeld:
		n.forward.handleConnectionHeld(n, m)
	case ConnectionNotHeld:
		n.forward.handleConnectionNotHeld(n, m)
	case ForwardStalled:
		n.forward.handleStalled(n, m)
	case ForwardContinued:
		n.forward.handleContinued(n, m)
	case ForwardResponseStarted:
		n.forward.handleFirstBytes(n, m)
	case ForwardResponseCompleted:
		n.forward.handleAnswered(n, m)
	case ConnectionObserved:
		n.isolation.observeConnection(n, m)
	case RelayRequested:
		n.relays.handleRequested(n, m)
	case RelayEnded:
		n.relays.handleEnded(n, m)
	case Shutdown:
		n.shutdown()
	case PeerMessage:
		n.dispatchPeer(m)
	}
}

func (n *Node) dispatchPeer(m PeerMessage) {
	n.members.messageReceived(n, m.From, m.Incarnation)
	n.usage.reports.heard(n, m)
	switch b := m.Body.(type) {
	case Heartbeat:
		n.members.handleHeartbeat(n, m.From, b)
	case HeartbeatAck:
		n.members.handleAck(n, m.From, b)
	case HeartbeatRequest:
		n.members.handleHeartbeatRequest(n, m.From, b)
	case ConfigQuery:
		n.config.handleQuery(n, m.From, b)
	case ConfigAnswer:
		n.config.handleAnswer(n, m.From, b)
	case VMListQuery:
		n.members.handleVMListQuery(n, m.From)
	case VMListAnswer:
		n.members.handleVMListAnswer(n, b)
	case KeyCall:
		n.serviceCalls.handleKeyCall(n, m.From, m.Incarnation, b)
	case KeyAnswer:
		n.serviceCalls.handleKeyAnswer(n, m.From, b)
	case Place:
		n.owner.handlePlace(n, m.From, b)
	case Placed:
		n.entry.handlePlaced(n, m.From, b)
	case PlaceQueued:
		n.entry.handlePlaceQueued(n, b)
	case PlaceRefused:
		n.entry.handlePlaceRefused(n, b)
	case AttemptProgress:
		n.owner.handleProgress(n, b)
	case AttemptEnded:
		n.owner.handleAttemptEnded(n, m.From, b)
	case AttemptSuperseded:
		n.entry.handleSuperseded(n, m.From, b)
	case AttemptEndedAck:
		n.entry.handleEndedAck(n, b)
	case HolderQuery:
		n.entry.handleHolderQuery(n, m.From, b)
	case HolderAnswer:
		n.owner.handleHolderAnswer(n, m.From, b)
	case MoveAway:
		n.entry.handleMoveAway(n, b)
	case PlaceForward:
		n.dispatcher.handlePlaceForward(n, m.From, b)
	case ForwardDenied:
		n.dispatcher.handleDenied(n, m.From, b)
	case ForwardPromptRead:
		n.dispatcher.handlePrefillDone(n, m.From, b)
	case ForwardReleased:
		n.dispatcher.handleReleased(n, m.From, b)
	case ForwardHeld:
		n.dispatcher.handleHeld(n, m.From, b)
	case PlacementsQuery:
		n.forward.handlePlacementsQuery(n, m.From, b)
	case PlacementsEnded:
		n.dispatcher.handlePlacementsEnded(n, m.From, b)
	case ForwardQueued:
		n.forward.handleQueued(n, m.From, b)
	case ForwardPlaced:
		n.forward.handlePlaced(n, m.From, b)
	case ForwardTurnedAway:
		n.forward.handleOwnerRejection(n, m.From, b)
	case InstancesChanged:
		n.feed.handleChanges(n, m.From, b)
	case InstancesQuery:
		n.feed.handleQuery(n, m.From, b)
	case StreamsBegun:
		n.forward.handleStreamsBegun(n, b)
	case WindowReported:
		n.forward.handleWindow(n, m.From, b)
	case VersionQuery:
		n.forward.handleVersionQuery(n, m.From, b)
	case VersionAnswer:
		n.forward.handleVersionAnswer(n, m.From, b)
	case RolesWanted:
		n.roles.handleRolesWanted(n, b)
	case RolesOrdered:
		n.roles.handleRolesOrdered(n, b)
	case PlacerAnnounced:
		n.dispatcher.handlePlacerAnnounced(n, m.From, b)
	case LimitsReported:
		n.forward.upstreams.handleLimitsReported(n, m.From, b)
	case UsageReported:
		n.usage.allocator.handleReported(n, m.From, b)
	case UsageGranted:
		n.usage.handleGranted(n, m.From, b)
	case SuspectsReported:
		n.forward.handleSuspectsReported(n, m.From, b)
	case StateQuery:
		n.forward.handleStateQuery(n, m.From, b)
	case StateAnswer:
		n.forward.handleStateAnswer(n, b)
	}
}

func (n *Node) logAppended(m LogAppended) {
	n.serviceCalls.appended(n, m)
	n.orders.appended(n, m)
	n.config.appended(n, m)
}

func (n *Node) logAppendFailed(m LogAppendFailed) {
	n.serviceCalls.appendFailed(n, m)
	n.orders.appendFailed(n, m)
	n.config.appendFailed(n, m)
}

func (n *Node) logRead(m LogRead) {
	switch m.Stream {
	case ConfigStream:
		n.config.handleLogRead(n, m)
	case KeyStream:
		n.serviceCalls.handleLogRead(n, m)
	case ClaimStream:
		n.orders.handleLogRead(n, m)
	}
}

func (n *Node) logReadFailed(m LogReadFailed) {
	switch m.Stream {
	case ConfigStream:
		n.config.readFailed(n, m)
	case KeyStream:
		n.serviceCalls.readFailed(n, m)
	case ClaimStream:
		n.orders.readFailed(n, m)
	}
}

func (n *Node) handleVMList(m VMList) {
	if n.members.applyVMList(n, m) {
		n.owner.reconcile(n)
	}
	n.usage.configure(n)
}
