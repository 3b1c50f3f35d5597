package core

import "time"

// TenantID names a tenant, on whose behalf callers send requests.
type TenantID string

// CredentialDigest is the SHA-256 digest of a caller's key. The key itself never reaches the core.
type CredentialDigest [32]byte

// UsageUnit is what a usage cap counts.
type UsageUnit int

// The units of usage caps.
const (
	// RequestUnit counts each request as one.
	RequestUnit UsageUnit = iota
	// TokenUnit counts a request's prompt tokens and the upper bound of its output tokens.
	TokenUnit
)

// UsageCap bounds what a tenant may use at all nodes together: Rate units a second and a burst of
// Burst units. A Rate of zero sets no limit.
type UsageCap struct {
	Rate, Burst float64
	Unit        UsageUnit
	// PlainTokens is the usage of a request that names no token counts, if tokens are counted.
	PlainTokens Tokens
}

// Tenant is one tenant of the desired state.
type Tenant struct {
	ID   TenantID
	Keys []CredentialDigest
	// Rank replaces the rank of the routes, if present.
	Rank Option[int]
	Cap  UsageCap
}

// TenantUsage reports what a node admits of a tenant's requests, in units of the tenant's cap. Without a
// Tenant, it says that the node leaves its part of all caps to the allocator for the time Left, from the
// end of what it has left to it before.
type TenantUsage struct {
	Tenant TenantID
	// Demand is the rate at which requests have asked for usage lately, in units a second, and Used
	// what the node has admitted since it started.
	Demand, Used float64
	// Rate is the rate for which the node wants to hold a share even without demand, in units a second.
	// Level is what it has left of its share, for the time Left.
	Rate, Level float64
	Left        time.Duration
}

// UsageReported reports a node's usage to the allocator of the tenants' caps, which is to grant it
// shares.
type UsageReported struct {
	// Version is the version of the desired state with the caps.
	Version int64
	Tenants []TenantUsage
}

// UsageShare is a share of a tenant's cap. The node may use Burst units during the time Left, and may
// expect more at the rate Rate, in units a second, as it reports.
type UsageShare struct {
	Tenant      TenantID
	Rate, Burst float64
	Left        time.Duration
	// UsedElsewhere is what the tenant has used at other nodes, in units.
	UsedElsewhere float64
}

// UsageGranted grants shares of tenants' caps to the node that has reported its usage.
type UsageGranted struct {
	Version int64
	Shares  []UsageShare
}

func (UsageReported) isPeerBody() {}

func (UsageGranted) isPeerBody() {}

// TenantProblem is what is wrong with a part of a tenant list.
type TenantProblem int

// The problems of tenant lists.
const (
	// RowUnreadable means that a row could not be decoded. It is left out.
	RowUnreadable TenantProblem = iota
	// NameInvalid means that a row has no usable name. It is left out.
	NameInvalid
	// NameRepeated means that an earlier row has the same name. Its keys are added to that one's, and
	// the rest of it is ignored.
	NameRepeated
	// KeyInvalid means that a key is empty, or a digest malformed. The key is left out.
	KeyInvalid
	// KeyShared means that an earlier row has the same key. The key remains that of the earlier one.
	KeyShared
	// PriorityInvalid means that the tenant's priority is no rank. The rank of the route applies.
	PriorityInvalid
	// CapInvalid means that a number of the usage cap is invalid. The tenant has no cap.
	CapInvalid
)

// TenantFault is a part of a tenant list that could not be used. It never holds a key.
type TenantFault struct {
	// Row is the index of the row, from zero, and Tenant its name if it has a usable one.
	Row     int
	Tenant  TenantID
	Problem TenantProblem
}
