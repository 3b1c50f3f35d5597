package experiment

// Result is one line of output. Shares are from 0 to 1.
type Result struct {
	Scenario string
	Policy   string
	Seed     uint64
	Nodes    int
	// Offered counts the callers that first asked within the measured window.
	// A caller is one however often it comes back.
	Offered int
	// Goodput is the share of them that got the whole answer within both
	// targets, the first token counted from when the caller asked last.
	Goodput float64
	// WastedPrefill is the share of the tokens prefilled in the whole run that
	// no output token was decoded from.
	WastedPrefill float64
	// Refused is the share of callers that had no answer after all retries.
	Refused float64
	// FirstTokenP95Ms and PerTokenP95Ms are over callers with a whole answer.
	FirstTokenP95Ms float64
	PerTokenP95Ms   float64
	// ControlBytesPerNodePerSecond counts the messages between nodes as the
	// daemons frame them, while callers arrive.
	ControlBytesPerNodePerSecond float64
	// CPUMicrosPerDecision is the processor time of all updates of all nodes
	// over the number of placements and refusals.
	CPUMicrosPerDecision float64 `json:"CpuMicrosPerDecision"`

	// Load is the rate of arrivals as a multiple of the capacity, and
	// GoodPerSecond the rate of answers within targets.
	Load          float64
	GoodPerSecond float64
	// GoodputFirstAsked counts the first token from when the caller first
	// asked, waits between retries included.
	GoodputFirstAsked float64
	// Bound is the share of callers that a clairvoyant choice of the cheapest
	// could answer in the engines' time of the window, GoodputOfBound what
	// part of it was reached. BoundByProfile is the same for a scheduler that
	// knows only the means of each profile, BoundInMix for one that does not
	// choose by size. BoundWithTail adds all the time after the window for
	// which its callers may still be served.
	Bound                   float64
	GoodputOfBound          float64
	BoundByProfile          float64
	GoodputOfBoundByProfile float64
	BoundInMix              float64
	GoodputOfBoundInMix     float64
	BoundWithTail           float64
	// AdmittedOnTime is the share of callers with a whole answer that had it
	// within both targets.
	AdmittedOnTime float64
	// Fairness is how much of what their shares entitle them to the customers
	// got that do not flood.
	Fairness float64
	// GoodputOfOthers and GoodputOfFlooder split Goodput by customer.
	GoodputOfOthers  float64
	GoodputOfFlooder float64
	// BorrowedShareMax is the largest share of the borrowed decode memory that
	// a profile held, over the share that it is allowed; above 1 is a breach.
	BorrowedShareMax float64
	// Refusals counts refusals, retries included. RefusalP95Ms is over the
	// longest of each caller.
	Refusals     int
	RefusalP95Ms float64
	// Violations counts broken invariants, Faulty answers that were not whole
	// or came twice, HeldAtEnd allocations that engines hold after the run.
	Violations int
	Faulty     int
	HeldAtEnd  int
}
