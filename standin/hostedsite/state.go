package hostedsite

import (
	"encoding/json"
	"fmt"
)

// The names of the services and of their routes. A route's name is also the first
// element of its path prefix.
const (
	// PlainService is a plain service. Requests on its route NonIdempotent must run
	// at most once; requests on Idempotent may run again.
	PlainService  = "ledger"
	NonIdempotent = "pay"
	Idempotent    = "read"
	// ModelService is a service of model engines. Streams on its route NonResumable
	// cannot be resumed; streams on Resumable can.
	ModelService = "model"
	NonResumable = "draft"
	Resumable    = "resume"
)

// DesiredState returns a version of the operators' desired state, in JSON, with the
// routes for a host. If extra is set, it has one more route, which is named after
// the version.
func DesiredState(version int, host string, extra bool) ([]byte, error) {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 4000, "SloMs": 600,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "Resumable": name == Resumable,
		}
	}
	routes := []any{
		route(NonIdempotent, "non_idempotent", PlainService), route(Idempotent, "idempotent", PlainService),
		route(NonResumable, "streaming", ModelService), route(Resumable, "streaming", ModelService),
	}
	if extra {
		routes = append(routes, route(fmt.Sprintf("extra%d", version), "idempotent", PlainService))
	}
	return json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": PlainService, "MaxConns": 200},
			map[string]any{"Name": ModelService, "MaxConns": 200, "Engine": map[string]any{
				"Slots": 6, "KvCapacity": 4000, "HandleTtlS": 0.5, "SwitchS": 1.0, "HoldMs": 2000.0, "Stride": 12,
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}
