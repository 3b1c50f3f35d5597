package experiment

// Result holds the figures of one run and is printed as one JSON line. Shares
// are from 0 to 1.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	Nodes    int
	// Offered counts the callers whose first attempt falls into the measured
	// window. A caller counts once, however often it retries.
	Offered int
	// Goodput is the share of them that got the whole answer within both
	// targets, with the time to the first token counted from the caller's last
	// attempt.
	Goodput float64
	// WastedPrefill is the share of the tokens prefilled in the whole run from
	// which no output token was decoded.
	WastedPrefill float64
	// Refused is the share of callers that did not get a whole answer, after all
	// retries.
	Refused float64
	// FirstTokenP95Ms and PerTokenP95Ms are 95th percentiles over the callers
	// that got a whole answer.
	FirstTokenP95Ms float64
	PerTokenP95Ms   float64
	// ControlBytesPerNodePerSecond counts the messages between nodes, framed as
	// the daemons send them, until the last arrival.
	ControlBytesPerNodePerSecond float64
	// CPUMicrosPerDecision is the processor time of all updates of all nodes,
	// divided by the number of placements and rejections.
	CPUMicrosPerDecision float64 `json:"CpuMicrosPerDecision"`

	// Load is the arrival rate as a multiple of the capacity, and GoodPerSecond
	// the rate of answers within both targets.
	Load          float64
	GoodPerSecond float64
	// GoodputFirstAsked is Goodput with the time to the first token counted from
	// the caller's first attempt, so that waits between retries are included.
	GoodputFirstAsked float64
	// Bound is an upper bound on Goodput: the share of callers that a
	// clairvoyant scheduler could answer in the engine time of the window by
	// selecting the cheapest requests. BoundByProfile is the same for a
	// scheduler that knows only the mean cost of each profile, and BoundInMix
	// for one that does not select by size. GoodputOfBound,
	// GoodputOfBoundByProfile and GoodputOfBoundInMix are the fractions of these
	// bounds that were reached. BoundWithTail adds to the engine time all of the
	// time after the window in which its callers may still be served.
	Bound                   float64
	GoodputOfBound          float64
	BoundByProfile          float64
	GoodputOfBoundByProfile float64
	BoundInMix              float64
	GoodputOfBoundInMix     float64
	BoundWithTail           float64
	// AdmittedOnTime is the share of the callers with a whole answer that got it
	// within both targets.
	AdmittedOnTime float64
	// Fairness is the share of their entitlement that the customers other than
	// the flooder received.
	Fairness float64
	// GoodputOfOthers and GoodputOfFlooder split Goodput by customer.
	GoodputOfOthers  float64
	GoodputOfFlooder float64
	// BorrowedShareMax is the largest share of the borrowed decode memory that a
	// profile held, divided by the share that it may hold; above 1 is a breach.
	BorrowedShareMax float64
	// Refusals counts rejections, including those of retries. RefusalP95Ms is
	// the 95th percentile of the time until a rejection, with the longest one of
	// each caller.
	Refusals     int
	RefusalP95Ms float64
	// Violations counts broken invariants, Faulty the callers whose answer had a
	// fault, for example because it was incomplete or arrived twice, and
	// HeldAtEnd the allocations that engines still hold after the run.
	Violations int
	Faulty     int
	HeldAtEnd  int
}
