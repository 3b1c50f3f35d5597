package core

// entry serves the callers that are connected to this node.
type entry struct{}

func (s *entry) start(_ *Node)                                {}
func (s *entry) request(_ *Node, _ CallerRequest)             {}
func (s *entry) gone(_ *Node, _ CallerGone)                   {}
func (s *entry) prefillDone(_ *Node, _ PrefillDone)           {}
func (s *entry) importDone(_ *Node, _ ImportDone)             {}
func (s *entry) firstToken(_ *Node, _ FirstToken)             {}
func (s *entry) streamEnded(_ *Node, _ StreamEnded)           {}
func (s *entry) engineFailed(_ *Node, _ EngineFailed)         {}
func (s *entry) placed(_ *Node, _ NodeID, _ Placed)           {}
func (s *entry) placeRefused(_ *Node, _ PlaceRefused)         {}
func (s *entry) endedAck(_ *Node, _ AttemptEndedAck)          {}
func (s *entry) holderQuery(_ *Node, _ NodeID, _ HolderQuery) {}
func (s *entry) moveAway(_ *Node, _ MoveAway)                 {}

func (n *Node) releaseDone(_ ReleaseDone)     {}
func (n *Node) releaseFailed(_ ReleaseFailed) {}
func (n *Node) shutdown()                     {}
