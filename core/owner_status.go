package core

// upstreamStatus describes an upstream for operators. Only the node that keeps
// the upstream's allocation table knows how much of it is allocated.
func (n *Node) upstreamStatus(u Upstream) UpstreamStatus {
	pool, known := n.config.pool(u.Pool)
	status := UpstreamStatus{
		Upstream:  u,
		Withdrawn: u.Leaving || !known || pool.Withdrawn,
		Role:      pool.Role,
		Model:     pool.Model,
	}
	g, grouped := n.owner.groupByEngine[u.ID]
	if !grouped {
		status.Owner = n.members.ownerOf(n, u.Region, "upstream/"+string(u.ID))
		status.Owned = status.Owner == n.Self.ID
		return status
	}
	status.Owner = n.groupOwner(g)
	status.Owned = status.Owner == n.Self.ID
	if b, ok := n.owner.allocationTables[u.ID]; ok {
		b.describe(&status)
	}
	return status
}

// describe fills in the engine's latest report and its allocations.
func (b *allocationTable) describe(status *UpstreamStatus) {
	status.Reachable = b.reachable
	status.State = b.state
	status.Pieces = b.pieces
	status.FreePieces = b.report.FreePieces
	status.Booked = b.reservedPieces
	status.Requests = len(b.jobs)
	if b.reported {
		status.Role = b.role
		status.Model = b.model
	}
}
