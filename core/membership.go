package core

// members is the node's view of the other nodes. The view is a hint: no
// promise rests on two nodes agreeing about it.
type members struct{}

func (s *members) start(_ *Node)                               {}
func (s *members) heard(_ *Node, _ NodeID, _ Incarnation)      {}
func (s *members) heartbeat(_ *Node, _ NodeID, _ Heartbeat)    {}
func (s *members) ack(_ *Node, _ NodeID, _ HeartbeatAck)       {}
func (s *members) relay(_ *Node, _ NodeID, _ HeartbeatRequest) {}
func (s *members) vmList(_ *Node, _ VMList)                    {}
func (s *members) vmListQuery(_ *Node, _ NodeID)               {}
func (s *members) vmListAnswer(_ *Node, _ VMListAnswer)        {}

func (s *members) peerAddress(_ NodeID) (string, bool)       { return "", false }
func (s *members) upstreamAddress(_ EngineID) (string, bool) { return "", false }

// upstreams returns the engines and plain services of the latest VM list,
// sorted by id.
func (s *members) upstreams() []Upstream { return nil }

// present reports whether some start of a node is believed to live.
func (s *members) present(_ NodeID) bool { return true }

// alive reports whether that very start of a node is believed to live.
// Suspect members count as alive.
func (s *members) alive(_ NodeID, _ Incarnation) bool { return true }

// ownerOf returns the live node that owns key by rendezvous hashing, this
// node included. Draining nodes own nothing.
func (s *members) ownerOf(n *Node, _ RegionID, _ string) NodeID { return n.Self.ID }

func (n *Node) addresses(_ AddressQuery) {}

func (n *Node) status() Status { return Status{} }

// leave spreads that this node leaves.
func (s *members) leave(_ *Node) {}
