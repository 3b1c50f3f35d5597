package hostedsite

import (
	"encoding/json"
	"fmt"
)

// The services and the routes to them, each under a path of its name.
const (
	// Plain is a service of short requests: Once may run once, and Again more often.
	Plain = "ledger"
	Once  = "pay"
	Again = "read"
	// Model is a service of engines: Draft is a stream that cannot be resumed, and
	// Resumable one that can.
	Model     = "model"
	Draft     = "draft"
	Resumable = "resume"
)

// State returns a version of the desired state for callers of a host; with extra
// it has one route more.
func State(version int, host string, extra bool) ([]byte, error) {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 4000, "SloMs": 600,
			"Priority": 1, "Service": service, "MaxAttempts": 2, "Resumable": name == Resumable,
		}
	}
	routes := []any{
		route(Once, "non_idempotent", Plain), route(Again, "idempotent", Plain),
		route(Draft, "streaming", Model), route(Resumable, "streaming", Model),
	}
	if extra {
		routes = append(routes, route(fmt.Sprintf("extra%d", version), "idempotent", Plain))
	}
	return json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": Plain, "MaxConns": 200},
			map[string]any{"Name": Model, "MaxConns": 200, "Engine": map[string]any{
				"Slots": 6, "KvCapacity": 4000, "HandleTtlS": 0.5, "SwitchS": 1.0, "HoldMs": 2000.0, "Stride": 12,
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
}
