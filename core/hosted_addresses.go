package core

const (
	// hostedMaxAddresses is the maximum number of addresses that callers of a
	// hosted deployment read.
	hostedMaxAddresses = 64
	// hostedMinNear is how many nodes in the caller's own failure domain are
	// enough to return no others. Traffic between domains is expensive, but with a
	// single node the caller would have no other when that node dies.
	hostedMinNear = 2
)

// hostedAddresses answers with live nodes, only those in the caller's own failure
// domain if there are enough. Callers choose among them at random. Isolated nodes are left
// out if there are enough others.
func (n *Node) hostedAddresses(m AddressQuery) {
	var near, all []NodeAddress
	var isolated []NodeInfo
	add := func(node NodeInfo) {
		if node.Isolated {
			isolated = append(isolated, node)
			return
		}
		a := NodeAddress{Node: node.ID, Domain: node.Domain, Address: node.CallerAddress, Weight: 1}
		all = append(all, a)
		if node.Domain == m.Domain {
			near = append(near, a)
		}
	}
	if !n.leaving && n.ready() {
		self := n.Self
		self.Isolated = n.isolation.isolated
		add(self)
	}
	for _, id := range sortedKeys(n.members.byID) {
		if m := n.members.byID[id]; m.available() && m.node.CallerAddress != "" {
			add(m.node)
		}
	}
	if len(all) < hostedMinNear {
		for _, node := range isolated {
			node.Isolated = false
			add(node)
		}
	}
	if len(all) == 0 {
		n.addLeaving(add)
	}
	if len(all) == 0 {
		add(n.Self)
	}
	if len(near) >= hostedMinNear {
		all = near
	}
	n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n.do(AnswerAddresses{Query: m.Query, Addresses: all[:min(len(all), hostedMaxAddresses)], Lifetime: n.Settings.AddressLifetime})
}

// ready reports whether a hosted node may accept requests: it knows a desired state that
// it may serve by, and the list of upstreams. One that would reject the keys of all callers may not.
func (n *Node) ready() bool {
	rejectsKeys := n.forward.state.HasTenants && n.forward.keysOutdated(n)
	return n.forward.servesState(n) && n.forward.upstreams.loaded && !n.cutOff() && !rejectsKeys
}

// cutOff reports whether this node has been without proof of its desired state, and without a
// message of any peer, for StaleAfter. Other nodes may be worse off, so that it serves callers
// that connect, but its directory names no node.
func (n *Node) cutOff() bool {
	alone := n.now.Sub(n.members.heardAt) > n.Settings.StaleAfter && len(n.members.byID) > 0
	return alone && n.now.Sub(n.forward.proof.at) > n.Settings.StaleAfter
}

// addLeaving adds the leaving nodes that still accept callers. It is used when all
// nodes are leaving.
func (n *Node) addLeaving(add func(NodeInfo)) {
	if !n.shutdownState.closed && n.ready() {
		add(n.Self)
	}
	for _, id := range sortedKeys(n.members.byID) {
		m := n.members.byID[id]
		if m.alive() && m.status == Left && n.now.Sub(m.changedAt) < n.Settings.Grace-closeReserve {
			add(m.node)
		}
	}
}
