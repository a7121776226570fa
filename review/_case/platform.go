package main

import (
	"peridotknot.example/platform/platformtest"
)

// Names in the configuration.
const (
	host    = "host.example"
	apiKey  = "key-1"
	app     = "app"
	pool    = "pool"
	account = "account-1"
)

// Kinds of accelerators.
const (
	fastCard = "fast"
	slowCard = "slow"
)

// layers is the number of layers of the model.
const layers = 8

// limits are the limits on what clients send, in the configuration.
func limits(headerBytes int) map[string]any {
	return map[string]any{"max_header_bytes": headerBytes, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "route_type": kind, "service": service, "timeout_ms": timeoutMS,
		"slo_ms": 500, "gap_target_ms": 200, "priority_class": 1, "max_attempts": 2, "public": false, "resumable": false,
	}
}

// configuration returns a configuration of one tenant.
func configuration(version int, services []any, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "limits": limits(16384),
		"tenants": []any{map[string]any{"name": account, "api_keys": []string{apiKey}}},
	}
}

func appService() map[string]any {
	return map[string]any{"name": app, "health_path": "/health", "max_conns": 200}
}

// poolService returns a pool of engines of which each holds up to five of the eight layers.
func poolService() map[string]any {
	return map[string]any{"name": pool, "health_path": "/health", "max_conns": 200, "engine": map[string]any{
		"capacity_slots": 64, "kv_capacity_tokens": 100000, "layers": layers, "layer_mb": 1000, "kv_token_bytes": 8000, "activation_bytes": 1000,
		"pipe_mbps": 10000, "step_ms": 1, "per_seq_ms": 0, "context_per_k": 0, "read_per_s": 100000, "chunk": 512, "stride": 2,
		"usual": map[string]any{"prompt": 100, "answer": 100}, "models": []any{map[string]any{"name": "m", "load_s": 1}},
		"kinds": []any{
			map[string]any{"name": fastCard, "mb": 5500, "pace": 1, "read_factor": 1},
			map[string]any{"name": slowCard, "mb": 5500, "pace": 10, "read_factor": 10},
		},
	}}
}

// startStore starts the stand-in for the platform's store.
func (r *run) startStore() *platformtest.Store {
	s := platformtest.NewStore()
	r.atEnd(s.Close)
	return s
}
