package core

// TurnAwayCause is why an owner rejects a request.
type TurnAwayCause int

// The causes for which owners reject requests.
const (
	// NoCause is that of decisions that are no such rejections.
	NoCause TurnAwayCause = iota
	// ExceedsLimits means that the limits of the upstreams leave no place in time.
	ExceedsLimits
	// ExceedsDeadline means that a request cannot expect a place in time when it arrives.
	ExceedsDeadline
	// Displaced means that a queued request cannot expect a place in time any more, because
	// others go before it.
	Displaced
	// NotPlacedInTime means that a queued request got no place in the time that it had.
	NotPlacedInTime
)
