package core

// orders gives exclusive orders to engines under fencing numbers.
type orders struct{}

func (s *orders) start(_ *Node)                           {}
func (s *orders) wanted(_ *Node, _ Order)                 {}
func (s *orders) done(_ *Node, _ OrderDone)               {}
func (s *orders) failed(_ *Node, _ OrderFailed)           {}
func (s *orders) report(_ *Node, _ EngineReport)          {}
func (s *orders) appended(_ *Node, _ LogAppended)         {}
func (s *orders) appendFailed(_ *Node, _ LogAppendFailed) {}
func (s *orders) read(_ *Node, _ LogRead)                 {}
func (s *orders) readFailed(_ *Node, _ LogReadFailed)     {}
