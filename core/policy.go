package core

// Policy selects between ways to place requests, so that each mechanism can be
// measured against its absence. The zero value is the product.
type Policy struct {
	Placement PlacementPolicy
	// NoPrefixLocality ignores prefix caches.
	NoPrefixLocality bool
	// NoAdmission places requests that cannot meet their targets.
	NoAdmission bool
	// NoFairShares serves in order of arrival.
	NoFairShares bool
	// NoDecodePromise starts prefills without a promise of decode memory.
	NoDecodePromise bool
	// NoOverlap books decode memory only once it is free.
	NoOverlap bool
}

// PlacementPolicy names a way to choose engines.
type PlacementPolicy int

// The placement policies.
const (
	// Joint lets the owner of a group of engines choose prefill and decode
	// together from exact books.
	Joint PlacementPolicy = iota
	// TwoChoices picks the less loaded of two random engines by their reports.
	TwoChoices
	// RandomChoice picks at random.
	RandomChoice
)
