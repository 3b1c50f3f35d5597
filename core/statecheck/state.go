package statecheck

import "time"

// State is a desired state as its author wrote it: defaults are not filled in, and entries that nodes
// leave out are still there.
type State struct {
	Version  int64
	Routes   []Route
	Services []Service
	// HasTenants says that callers need keys on routes that are not public. Tenants may be empty then.
	HasTenants bool
	Tenants    []Tenant
	Limits     Limits
}

// Kind is how often upstreams may run the requests of a route.
type Kind int

// The kinds of routes.
const (
	// Unknown kinds are reported by the decoder.
	Unknown Kind = iota
	// Once requests run at most once.
	Once
	// Repeatable requests may run again.
	Repeatable
	// Stream requests are answered by a stream of events. They run at most once if they are not
	// resumable.
	Stream
)

// Route is one route.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout bounds the time that a caller waits, Objective is that within which an answer is on
	// time, and MaxPause that between two events of a stream.
	Timeout, Objective, MaxPause time.Duration
	// StallAfter is for how long an engine may be silent before another one is sought.
	StallAfter time.Duration
	Priority   int
	// Service is the only service, or empty. Split has the shares of several.
	Service string
	Split   []Share
	// MaxRuns is how many upstreams may run one request; below one, it counts as one.
	MaxRuns           int
	Resumable, Public bool
}

// Share is the weight of one service in a split.
type Share struct {
	Service string
	Weight  float64
}

// Service is one service.
type Service struct {
	Name string
	// MaxConns is how many connections one upstream accepts; zero if unknown.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of streams in a batch, Memory the KV cache memory and Stride the length of
	// an event, both in tokens.
	Slots, Memory, Stride int
	// MaxLease is the longest lease of memory; zero without leases. HandleTTL is how long the KV cache
	// of a prompt is kept, and RoleChange how long an engine takes to change its role.
	MaxLease, HandleTTL, RoleChange time.Duration
}

// Key is the digest of a key. It serves for comparison only.
type Key [32]byte

// Tenant is one tenant with what nodes would use of its rows.
type Tenant struct {
	// Row is the index of its first row. Name is empty if it must not be printed.
	Row  int
	Name string
	// ID identifies the tenant in comparisons and is never printed.
	ID   string
	Keys []Key
	// HasPriority says that Priority replaces that of the routes.
	HasPriority bool
	Priority    int
	// CountsTokens says that the cap is in tokens; else it is in requests. Unit is as written.
	CountsTokens bool
	Unit         string
	// Rate is in units a second and Burst in units. PlainTokens is what a request without token counts
	// counts.
	Rate, Burst, PlainTokens float64
}

// Limits bounds what callers send. Zero sets no limit.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Deployment is what is known of the deployment that the state is for; zero if it is not known.
type Deployment struct {
	// Nodes is the number of nodes, and MemoryBytes the memory of the smallest one.
	Nodes       int
	MemoryBytes int64
	// LargestRequest is the size of the largest request that is to be served, in tokens.
	LargestRequest int
}
