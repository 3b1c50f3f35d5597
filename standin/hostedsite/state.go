package hostedsite

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"
)

// The names of the services and of their routes. A route's name is also the first
// element of its path prefix.
const (
	// PlainService is a plain service. Requests on its route NonIdempotent must run
	// at most once; requests on Idempotent may run again.
	PlainService  = "ledger"
	NonIdempotent = "pay"
	Idempotent    = "read"
	// CanaryService is a further version of the plain service, which gets a share of its
	// requests.
	CanaryService = "ledger-canary"
	// ModelService is a service of model engines. Streams on its route NonResumable
	// cannot be resumed; streams on Resumable can.
	ModelService = "model"
	NonResumable = "draft"
	Resumable    = "resume"
)

// State is a version of the operators' desired state, with the routes for Host.
type State struct {
	Version int
	Host    string
	// Extra adds a route, which is named after the version.
	Extra bool
	// Added is how many routes the state has besides, which get no requests.
	Added int
	// Timeout is the routes' timeout.
	Timeout time.Duration
	// CanaryShare is the share of the plain service's requests that go to CanaryService.
	CanaryShare float64
	// Tenants are the tenants whose keys callers need, but for the routes of versions; nil if they
	// need none.
	Tenants []Tenant
}

// Tenant is a tenant with its keys. Priority is its rank; negative if that of the route applies.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int
}

// VersionRoutes is how many of the latest versions have a route of their own in a state.
const VersionRoutes = 64

// VersionRoute returns the name of the route that version adds. It stays for the next
// VersionRoutes-1 versions.
func VersionRoute(version int) string { return fmt.Sprintf("version%d", version) }

// Encode returns the desired state in JSON.
func (s State) Encode() ([]byte, error) {
	route := func(name, kind string, more map[string]any) map[string]any {
		r := map[string]any{
			"Name": name, "Host": s.Host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": s.Timeout.Milliseconds(),
			"SloMs": 600, "Priority": 1, "MaxAttempts": 2, "Resumable": name == Resumable,
		}
		maps.Copy(r, more)
		return r
	}
	plain := map[string]any{"Split": []any{
		map[string]any{"Service": PlainService, "Weight": 1 - s.CanaryShare},
		map[string]any{"Service": CanaryService, "Weight": s.CanaryShare},
	}}
	model := map[string]any{"Service": ModelService}
	routes := []any{
		route(NonIdempotent, "non_idempotent", plain), route(Idempotent, "idempotent", plain),
		route(NonResumable, "streaming", model), route(Resumable, "streaming", model),
	}
	if s.Extra {
		routes = append(routes, route(fmt.Sprintf("extra%d", s.Version), "idempotent", plain))
	}
	for v := max(1, s.Version-VersionRoutes+1); v <= s.Version; v++ {
		versioned := route(VersionRoute(v), "idempotent", plain)
		versioned["Public"] = true
		routes = append(routes, versioned)
	}
	for i := range s.Added {
		routes = append(routes, route(fmt.Sprintf("added%d", i), "idempotent", plain))
	}
	state := map[string]any{
		"Version": s.Version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": PlainService, "MaxConns": 200},
			map[string]any{"Name": CanaryService, "MaxConns": 200},
			map[string]any{"Name": ModelService, "MaxConns": 200, "Engine": map[string]any{
				"Slots": 6, "KvCapacity": 4000, "HandleTtlS": 0.5, "SwitchS": 1.0, "HoldMs": 2000.0, "Stride": 12,
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	if s.Tenants != nil {
		state["Tenants"] = s.tenantRows()
	}
	return json.Marshal(state)
}

func (s State) tenantRows() []any {
	rows := []any{}
	for _, t := range s.Tenants {
		row := map[string]any{"Name": t.Name, "ApiKeys": t.Keys}
		if t.Priority >= 0 {
			row["Priority"] = t.Priority
		}
		rows = append(rows, row)
	}
	return rows
}
