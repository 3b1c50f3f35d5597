package core

// owner keeps the books of the engines that this node owns.
type owner struct{}

func (s *owner) start(_ *Node)                                  {}
func (s *owner) place(_ *Node, _ NodeID, _ Place)               {}
func (s *owner) progress(_ *Node, _ AttemptProgress)            {}
func (s *owner) ended(_ *Node, _ NodeID, _ AttemptEnded)        {}
func (s *owner) holderAnswer(_ *Node, _ NodeID, _ HolderAnswer) {}
func (s *owner) report(_ *Node, _ EngineReport)                 {}
func (s *owner) unreachable(_ *Node, _ EngineUnreachable)       {}
func (s *owner) vmList(_ *Node, _ VMList)                       {}

// memberDied tells the owner that a start of a node is dead.
func (s *owner) memberDied(_ *Node, _ NodeID, _ Incarnation) {}

// reconcile tells the owner that configuration or membership changed.
func (s *owner) reconcile(_ *Node) {}
