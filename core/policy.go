package core

// Policy turns off parts of the placement, so that each part can be measured
// against its absence. The zero value, with all parts on, is for production.
type Policy struct {
	Placement PlacementPolicy
	// NoPrefixLocality places requests without regard to prefix caches.
	NoPrefixLocality bool
	// NoAdmission places requests even if they cannot meet their targets.
	NoAdmission bool
	// NoFairShares serves requests in order of arrival instead of by customers'
	// shares.
	NoFairShares bool
	// NoDecodeReservation starts prefills without reserving decode memory.
	NoDecodeReservation bool
	// NoOverlap reserves decode memory only once it is free, not while it is
	// expected to be released.
	NoOverlap bool
}

// PlacementPolicy names a way to choose engines.
type PlacementPolicy int

// The placement policies.
const (
	// Joint has the owner of a group of engines choose the prefill and the decode
	// engine together, from an exact allocation table.
	Joint PlacementPolicy = iota
	// TwoChoices picks the less loaded of two random engines, by their latest
	// reports.
	TwoChoices
	// RandomChoice picks an engine at random.
	RandomChoice
)
