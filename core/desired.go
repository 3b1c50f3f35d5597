package core

import (
	"strings"
	"time"
)

// ServiceID names a set of upstreams that serve the same routes.
type ServiceID string

// RouteID names a route of the desired state.
type RouteID string

// RetryPolicy says whether a forwarded request may run more than once.
type RetryPolicy int

// The ways in which a request may be repeated.
const (
	// Once requests run at most once.
	Once RetryPolicy = iota
	// Repeatable requests may run any number of times.
	Repeatable
	// ResumeOnly streams may continue at another upstream after the last event
	// that the caller received.
	ResumeOnly
)

// StateSource says from where a node received a desired state.
type StateSource int

// The sources of desired states.
const (
	// StateFromStore is a read of the store.
	StateFromStore StateSource = iota
	// StateFromPeer is an answer of another node.
	StateFromPeer
)

// DesiredState is the complete configuration that operators want in force. A
// later version replaces an earlier one as a whole.
type DesiredState struct {
	Version int64
	Source  StateSource
	// Offset is the state's offset in the store. It grows with the version.
	Offset   Offset
	Routes   []Route
	Services map[ServiceID]ServiceSpec
	Limits   CallerLimits
	// HasTenants says that callers need the key of a tenant on routes that are not public. Tenants may
	// be empty then.
	HasTenants bool
	Tenants    []Tenant
	// TenantFaults are the parts of the tenants that could not be used.
	TenantFaults []TenantFault
	// Encoded is the state as encoded for peers, which may lack it or not reach the store.
	Encoded []byte
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	ID          RouteID
	Host        string
	Prefix      string
	RetryPolicy RetryPolicy
	Stream      bool
	// Timeout is the upper bound on the time that a caller waits.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, counts as on time.
	Objective time.Duration
	// MaxPause is the longest pause between two events of a stream that is on time; zero
	// if unknown.
	MaxPause time.Duration
	// GapPatience is how long callers wait for the next event of a stream before they
	// leave; zero if unknown.
	GapPatience time.Duration
	// Rank is the priority of the route under load; zero is the most urgent.
	Rank int
	// Public routes need no key.
	Public bool
	// MaxRuns is how many times upstreams may run one request of a caller. A send
	// that the upstream rejected or never received does not count.
	MaxRuns int
	// Split divides the requests between services.
	Split []Share
}

// Share is the weight of one service in a route's split.
type Share struct {
	Service ServiceID
	Weight  float64
}

// ServiceSpec describes a service.
type ServiceSpec struct {
	ID ServiceID
	// MaxConnections is how many connections one upstream accepts from all nodes
	// together.
	MaxConnections int
	// Engine is present if the service's upstreams are model engines.
	Engine Option[EngineSpec]
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	// Slots is the number of streams in one decode batch.
	Slots int
	// KVCapacityTokens is the KV cache memory of one engine, in tokens.
	KVCapacityTokens Tokens
	// MaxLease is the longest time for which an engine reserves memory; zero if
	// it reserves none.
	MaxLease time.Duration
	// HandleTTL is how long an engine keeps the KV cache of a prompt that it
	// computed for another engine.
	HandleTTL time.Duration
	// TokensPerEvent is the number of tokens in one event of a stream; zero if
	// unknown.
	TokensPerEvent Tokens
	// RoleChangeTime is how long an engine is unavailable while it changes its role.
	RoleChangeTime time.Duration
}

// CallerLimits bounds what callers may send and how long they may take.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// LimitCallers sets the limits of later requests of callers and of their connections.
type LimitCallers struct{ CallerLimits }

func (LimitCallers) isCommand() {}

// routeTable holds the routes of each host.
type routeTable map[string][]Route

func newRouteTable(routes []Route) routeTable {
	t := routeTable{}
	for _, r := range routes {
		t[r.Host] = append(t[r.Host], r)
	}
	return t
}

// find returns the route of host whose Prefix is the longest prefix of path.
func (t routeTable) find(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range t[host] {
		if strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// pick returns a service of the route, chosen by weight. The draw is a random
// number of at least 0 and below 1.
func (r Route) pick(draw float64) ServiceID {
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	draw *= total
	for _, s := range r.Split {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
