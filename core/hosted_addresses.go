package core

const (
	// hostedMaxAddresses is the most that callers of a hosted deployment read.
	hostedMaxAddresses = 64
	// hostedNear is how many nodes of the caller's own failure domain suffice
	// to name no others: bytes between domains are dear, and one node alone
	// would leave the caller with nothing when it dies.
	hostedNear = 2
)

// hostedAddresses answers with live nodes, those of the caller's own failure
// domain alone where there are enough. Callers draw among them at random.
func (n *Node) hostedAddresses(m AddressQuery) {
	var near, all []NodeAddress
	add := func(node NodeInfo) {
		a := NodeAddress{Node: node.ID, Domain: node.Domain, Address: node.CallerAddress, Weight: 1}
		all = append(all, a)
		if node.Domain == m.Domain {
			near = append(near, a)
		}
	}
	if !n.leaving && n.ready() {
		add(n.Self)
	}
	for _, id := range sortedKeys(n.members.byID) {
		if m := n.members.byID[id]; m.present() && m.node.CallerAddress != "" {
			add(m.node)
		}
	}
	if len(all) == 0 {
		n.standIns(add)
	}
	if len(all) == 0 {
		add(n.Self)
	}
	if len(near) >= hostedNear {
		all = near
	}
	n.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n.do(AnswerAddresses{Query: m.Query, Addresses: all[:min(len(all), hostedMaxAddresses)], Lifetime: n.Settings.AddressLifetime})
}

// ready reports whether a hosted node may take new work: it knows what is
// desired and who serves it.
func (n *Node) ready() bool { return n.forward.known && n.forward.upstreams.known }

// standIns adds the leaving nodes that still take callers while nobody else
// does.
func (n *Node) standIns(add func(NodeInfo)) {
	if !n.left.closed && n.ready() {
		add(n.Self)
	}
	for _, id := range sortedKeys(n.members.byID) {
		m := n.members.byID[id]
		if m.alive() && m.status == Left && n.now.Sub(m.changedAt) < n.Settings.Grace-aloneReserve {
			add(m.node)
		}
	}
}
