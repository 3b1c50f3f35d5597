package core

// onceOnly runs calls to plain services, and those that may not be repeated at
// most once.
type onceOnly struct{}

func (s *onceOnly) start(_ *Node)                            {}
func (s *onceOnly) call(_ *Node, _ CallerCall)               {}
func (s *onceOnly) keyCall(_ *Node, _ NodeID, _ KeyCall)     {}
func (s *onceOnly) keyAnswer(_ *Node, _ NodeID, _ KeyAnswer) {}
func (s *onceOnly) answered(_ *Node, _ ServiceAnswered)      {}
func (s *onceOnly) failed(_ *Node, _ ServiceFailed)          {}
func (s *onceOnly) appended(_ *Node, _ LogAppended)          {}
func (s *onceOnly) appendFailed(_ *Node, _ LogAppendFailed)  {}
func (s *onceOnly) read(_ *Node, _ LogRead)                  {}
func (s *onceOnly) readFailed(_ *Node, _ LogReadFailed)      {}

// busy reports whether calls are in progress, for a graceful shutdown.
func (s *onceOnly) busy() bool { return false }

// running returns the number of calls in progress.
func (s *onceOnly) running() int { return 0 }
