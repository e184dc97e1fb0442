package main

// baseBounds are those of the first two deployments' sheets in SYSTEM.md.
func baseBounds() map[string]any {
	return map[string]any{
		"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
		"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revocation": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
		"budget_window_s": 10, "retry_budget_slack": 58, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "reuse_window_s": 10,
	}
}

// clientLimits are the limits on what clients may send.
var clientLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}

const (
	host = "pule25.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// tenants has one tenant with one key.
var tenants = []any{map[string]any{"name": "bozi300", "api_keys": []string{key}, "priority": 1}}

// engineService returns the configuration of a model service.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_check_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 9.1,
		"engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 541797, "kv_token_bytes": 163840, "link_mbps": 1100000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// engineEntry is what a model runner writes of itself.
func (e *engine) entry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 4, "born": 1796500000000,
	}
}
