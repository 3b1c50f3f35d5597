package core

// configuration is the configuration in force, folded from the log.
type configuration struct{}

func (s *configuration) start(_ *Node)                            {}
func (s *configuration) query(_ *Node, _ NodeID, _ ConfigQuery)   {}
func (s *configuration) answer(_ *Node, _ NodeID, _ ConfigAnswer) {}
func (s *configuration) appended(_ *Node, _ LogAppended)          {}
func (s *configuration) appendFailed(_ *Node, _ LogAppendFailed)  {}
func (s *configuration) read(_ *Node, _ LogRead)                  {}
func (s *configuration) readFailed(_ *Node, _ LogReadFailed)      {}

// profile returns a profile in force.
func (s *configuration) profile(_ ProfileID) (Profile, bool) { return Profile{}, false }

// pool returns a pool in force.
func (s *configuration) pool(_ PoolID) (Pool, bool) { return Pool{}, false }

// fresh reports whether the configuration was heard of recently enough to
// take new work under it.
func (s *configuration) fresh(_ *Node) bool { return false }

// pools returns the pools in force, sorted by id.
func (s *configuration) pools() []Pool { return nil }

// profiles returns the profiles in force, sorted by id.
func (s *configuration) profiles() []Profile { return nil }
